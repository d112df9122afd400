import type {Result} from 'true-myth';
import type {Logger} from '../logging/index.ts';
import type {AttemptFailure, RetryBudget} from '../retries/index.ts';
import {worstOutcome} from './attempt-outcomes.ts';
import {
	maximumAttempts,
	targetId,
	type AttemptPlan,
	type AttemptTarget,
	type OpenAttempt,
	type Progress,
} from './attempt.ts';
import type {GatewayRequest} from './gateway-request.ts';
import {openHedged, type PendingAttempt} from './hedged-attempt.ts';
import type {RequestQuarantine} from './request-quarantine.ts';
import type {TargetChooser} from './target-choice.ts';

/**
Decides when a request has a second attempt beside a silent one.
*/
export type AttemptHedging = {
	/**
	Whether a request may have another attempt while one is in flight.
	*/
	isAllowed(request: GatewayRequest, progress: Progress): boolean;
	/**
	Begins an attempt at a target, and a second one elsewhere if the first has no answer at half of the remaining time.

	@returns The first answer, or the last failure.
	*/
	begin(
		request: GatewayRequest,
		progress: Progress,
		first: {readonly target: AttemptTarget; readonly resumeFrom: number},
	): Promise<Result<OpenAttempt, AttemptFailure>>;
};

/**
Options of `createAttemptHedging`.
*/
export type AttemptHedgingOptions = {
	readonly clock: () => number;
	readonly chooser: Pick<TargetChooser, 'choose'>;
	readonly budget: Pick<RetryBudget, 'hasRetry' | 'spend'>;
	readonly quarantine: Pick<RequestQuarantine, 'statusOf'>;
	readonly issueAttemptId: () => string;
	readonly logger: Logger;
};

type BeginAttempt = (
	plan: AttemptPlan,
) => Promise<Result<OpenAttempt, AttemptFailure>>;

// Minimum time without an answer after which a second attempt begins, in milliseconds.
const smallestHedgeDelayMs = 500;

/**
Creates the hedging of a node.

@param options
@param begin Begins one attempt.
*/
export const createAttemptHedging = (
	options: AttemptHedgingOptions,
	begin: BeginAttempt,
): AttemptHedging => {
	const {budget, chooser, clock, logger, quarantine} = options;

	// A receiving node makes one attempt; the origin of a request decides about further ones.
	const isAllowed = (request: GatewayRequest, progress: Progress): boolean =>
		request.isRepeatable &&
		!progress.isForwarded &&
		progress.attempts < maximumAttempts &&
		budget.hasRetry() &&
		quarantine.statusOf(request).kind === 'clear';

	const secondTarget = (
		request: GatewayRequest,
		progress: Progress,
		silent: AttemptTarget,
	): AttemptTarget | undefined => {
		if (!isAllowed(request, progress)) {
			return undefined;
		}

		const excluded = new Set([...progress.excluded, targetId(silent)]);
		const tried = {excluded, isForwarded: progress.isForwarded};
		const choice = chooser.choose(request, tried, clock());
		return choice.kind === 'backend-server' || choice.kind === 'peer'
			? choice
			: undefined;
	};

	const beginCancelable = (
		plan: Omit<AttemptPlan, 'attemptId' | 'cancellation'>,
	): PendingAttempt => {
		const {progress, target} = plan;
		progress.attempts += 1;
		const cancellation = new AbortController();
		const opened = begin({
			...plan,
			attemptId: options.issueAttemptId(),
			cancellation: cancellation.signal,
		});
		return {
			opened: opened.then((result) => {
				if (result.isErr && !result.error.isWithdrawn) {
					progress.excluded.add(targetId(target));
				}

				return result;
			}),
			cancel() {
				cancellation.abort();
				void opened.then((result) => {
					if (result.isOk) {
						discard(result.value);
					}
				});
			},
		};
	};

	return {
		isAllowed,
		async begin(request, progress, {target, resumeFrom}) {
			const beginAt = (chosen: AttemptTarget) =>
				beginCancelable({request, progress, target: chosen, resumeFrom});
			const delayMs = Math.max(
				smallestHedgeDelayMs,
				(request.deadline - clock()) / 2,
			);
			const result = await openHedged(beginAt(target), delayMs, () => {
				const second = secondTarget(request, progress, target);
				if (!second) {
					return undefined;
				}

				budget.spend();
				logger.info(
					{
						requestId: request.requestId,
						silentTarget: targetId(target),
						target: targetId(second),
						afterMs: Math.round(delayMs),
					},
					'second attempt beside a silent one',
				);
				return beginAt(second);
			});
			return result.mapErr((failures) => {
				for (const {outcome} of failures) {
					progress.outcome = worstOutcome(progress.outcome, outcome);
				}

				return failures.at(-1)!;
			});
		},
	};
};

const discard = ({abort, finish}: OpenAttempt): void => {
	abort.abort();
	finish('canceled');
};
