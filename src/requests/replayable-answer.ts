import {createGatewayError, type Outcome} from '../errors/index.ts';
import {refuse, type Answer, type StreamEnd} from './answer.ts';

/**
 An answer that can be given more than once: to the caller, and to the same caller
 coming back with the same request id.
 */
export type ReplayableAnswer = {
	/**
	The answer, for one reader.
	*/
	read(): Promise<Answer>;
};

/**
The longest answer that is kept after its end, in bytes of a body or characters of a stream.
*/
export const maximumReplayLength = 65_536;

/**
 Runs a request to its end, whether or not its caller stays, and keeps the answer.
 
 A request that may run only once is not broken off when its caller goes: the caller
 can come back with the same id and get the outcome.
 @param run
 @param onEnd called once, when the request has ended.
 */
export const createReplayableAnswer = (
	run: () => Promise<Answer>,
	onEnd: (outcome: Outcome) => void,
): ReplayableAnswer => {
	const answer = settle(run, onEnd);
	return {read: async () => (await answer)()};
};

type Reader = () => Answer;

const settle = async (
	run: () => Promise<Answer>,
	onEnd: (outcome: Outcome) => void,
): Promise<Reader> => {
	const answer = await runSafely(run);
	switch (answer.kind) {
		case 'complete': {
			onEnd('ran');
			return answer.body.length > maximumReplayLength
				? readOnce(answer)
				: () => answer;
		}

		case 'refused': {
			onEnd(answer.error.outcome);
			return () => answer;
		}

		case 'stream': {
			const stream = pump(answer.pieces, () => {
				onEnd('ran');
			});
			return () =>
				stream.isDropped()
					? refuse(dropped())
					: {...answer, pieces: stream.read()};
		}
	}
};

// An error of the program itself must still end the request in the books.
const runSafely = async (run: () => Promise<Answer>): Promise<Answer> => {
	try {
		return await run();
	} catch {
		return refuse(
			createGatewayError('internal', 'An unexpected error happened'),
		);
	}
};

const readOnce = (answer: Answer): Reader => {
	let left: Answer | undefined = answer;
	return () => {
		const read = left ?? refuse(dropped());
		left = undefined;
		return read;
	};
};

const dropped = () =>
	createGatewayError(
		'answer-not-kept',
		'The request ran; its answer was too long to be kept',
	);

const pump = (
	source: AsyncGenerator<string, StreamEnd, void>,
	onEnd: () => void,
) => {
	let pieces: string[] = [];
	let length = 0;
	let end: StreamEnd | undefined;
	let isDropped = false;
	let wake: Array<() => void> = [];

	const notify = () => {
		const waiting = wake;
		wake = [];
		for (const resume of waiting) {
			resume();
		}
	};

	const news = async () =>
		new Promise<void>((resolve) => {
			wake.push(resolve);
		});

	const drain = async () => {
		for (;;) {
			const next = await source.next();
			if (next.done) {
				end = next.value;
				break;
			}

			pieces.push(next.value);
			length += next.value.length;
			notify();
		}

		if (length > maximumReplayLength) {
			// Readers that are under way hold their own reference to the pieces.
			pieces = [];
			isDropped = true;
		}

		onEnd();
		notify();
	};

	async function* read(): AsyncGenerator<string, StreamEnd, void> {
		const own = pieces;
		for (let index = 0; ; index += 1) {
			while (index >= own.length) {
				if (end) {
					return end;
				}

				await news();
			}

			yield own[index]!;
		}
	}

	void drain();
	return {read, isDropped: () => isDropped};
};
