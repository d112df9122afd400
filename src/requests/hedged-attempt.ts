import {Result} from 'true-myth';
import type {AttemptFailure} from '../retries/index.ts';
import type {OpenAttempt} from './attempt.ts';

/**
A pending attempt that can be canceled.
*/
export type PendingAttempt = {
	readonly opened: Promise<Result<OpenAttempt, AttemptFailure>>;
	cancel(): void;
};

/**
Waits for the head of an attempt's response. If it has not come after a time, a second attempt begins beside the first one, and
the first of the two to answer is returned; the other one is canceled.

@param first The first attempt.
@param delayMs Time without an answer after which the second attempt begins, in milliseconds.
@param beginSecond Begins the second attempt; returns undefined if there can be none.
@returns The first answer, or all failures.
*/
export const openHedged = async (
	first: PendingAttempt,
	delayMs: number,
	beginSecond: () => PendingAttempt | undefined,
): Promise<Result<OpenAttempt, readonly AttemptFailure[]>> => {
	const silence = Promise.withResolvers<undefined>();
	const timer = setTimeout(() => {
		silence.resolve(undefined);
	}, delayMs);
	const early = await Promise.race([first.opened, silence.promise]);
	clearTimeout(timer);
	const second = early ? undefined : beginSecond();
	return firstToAnswer(second ? [first, second] : [first]);
};

const firstToAnswer = async (
	attempts: readonly PendingAttempt[],
): Promise<Result<OpenAttempt, readonly AttemptFailure[]>> => {
	const failures: AttemptFailure[] = [];
	return new Promise((resolve) => {
		for (const attempt of attempts) {
			void attempt.opened.then((result) => {
				if (result.isErr) {
					failures.push(result.error);
					if (failures.length === attempts.length) {
						resolve(Result.err(failures));
					}

					return;
				}

				for (const other of attempts) {
					if (other !== attempt) {
						other.cancel();
					}
				}

				resolve(Result.ok(result.value));
			});
		}
	});
};
