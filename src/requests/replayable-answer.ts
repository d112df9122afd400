import {createGatewayError, type Outcome} from '../errors/index.ts';
import {refuse, type Answer, type StreamEnd} from './answer.ts';

/**
 An answer that can be returned more than once: to the caller, and again when the caller
 repeats the request with the same id.
 */
export type ReplayableAnswer = {
	/**
	Returns the answer for one reader.
	*/
	read(): Promise<Answer>;
};

/**
Maximum length of an answer that is stored after its end, in bytes of a body or characters of a stream.
*/
export const maximumReplayLength = 65_536;

/**
 Runs a request to its end, even if its caller disconnects, and stores the answer.
 
 A request that may run only once is not aborted when its caller disconnects: the caller
 can repeat it with the same id and get the answer.
 @param run Runs the request.
 @param onEnd Called once, when the request has ended.
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
			const stream = bufferStream(answer.pieces, () => {
				onEnd('ran');
			});
			return () =>
				stream.isDropped()
					? refuse(notStored())
					: {...answer, pieces: stream.read()};
		}
	}
};

// An unexpected exception must still record the end of the request.
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
	let unread: Answer | undefined = answer;
	return () => {
		const result = unread ?? refuse(notStored());
		unread = undefined;
		return result;
	};
};

const notStored = () =>
	createGatewayError(
		'answer-not-kept',
		'The request ran; its response was too long to be stored',
	);

const bufferStream = (
	source: AsyncGenerator<string, StreamEnd, void>,
	onEnd: () => void,
) => {
	let pieces: string[] = [];
	let length = 0;
	let end: StreamEnd | undefined;
	let isDropped = false;
	let waiters: Array<() => void> = [];

	const notify = () => {
		const waiting = waiters;
		waiters = [];
		for (const resume of waiting) {
			resume();
		}
	};

	const nextChange = async () =>
		new Promise<void>((resolve) => {
			waiters.push(resolve);
		});

	const readAll = async () => {
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
			// Readers that have started hold their own reference to the pieces.
			pieces = [];
			isDropped = true;
		}

		onEnd();
		notify();
	};

	async function* read(): AsyncGenerator<string, StreamEnd, void> {
		const buffered = pieces;
		for (let index = 0; ; index += 1) {
			while (index >= buffered.length) {
				if (end) {
					return end;
				}

				await nextChange();
			}

			yield buffered[index]!;
		}
	}

	void readAll();
	return {read, isDropped: () => isDropped};
};
