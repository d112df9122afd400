import type {Prompt} from '../routes/index.ts';
import type {Exchange} from './exchange.ts';

/**
Ways in which a stream ends.
*/
export const streamEnds = [
	'complete',
	/**
	Its time was over before the last event.
	*/
	'deadline',
	/**
	Its backend server, or the connection to it, failed.
	*/
	'upstream-failure',
	'caller-left',
	'refused',
] as const;

/**
The way in which one stream ended.
*/
export type StreamEnd = (typeof streamEnds)[number];

/**
The progress of a stream, for logs and metrics.
*/
export type StreamRecord = {
	readonly end: StreamEnd;
	/**
	Requests of all nodes in flight at the backend server when the latest attempt began, as estimated by this node; undefined
	for a request that another node sent to a server.
	*/
	readonly loadAtStart: number | undefined;
	/**
	Time until the deadline when the latest attempt began, in milliseconds; undefined without an attempt.
	*/
	readonly remainingAtStartMs: number | undefined;
	readonly chunks: number;
	/**
	Versions of the backend servers' software whose events were passed on, in order.
	*/
	readonly softwareVersions: readonly string[];
	/**
	Average time between two chunks, in milliseconds; undefined with less than two.
	*/
	readonly chunkIntervalMs: number | undefined;
};

/**
Returns the expected number of generated tokens, or the maximum if the caller gave no estimate.
*/
export const expectedLengthOf = ({
	expectedTokensOut,
	tokensOut,
}: Prompt): number => expectedTokensOut ?? tokensOut;

const generatedTokenWeight = 10;

/**
Returns the size of a request in tokens of prefill; a generated token occupies an engine for longer than a token of the prompt.
*/
export const sizeOf = ({prompt}: Exchange): number | undefined =>
	prompt && prompt.tokensIn + generatedTokenWeight * expectedLengthOf(prompt);

const smallestBound = 32;
const largestBound = 8192;

/**
Returns the upper bound of the size class of a stream: a power of two above its expected number of generated tokens.
The class of the largest bound includes all longer streams.
*/
export const lengthBoundOf = ({prompt}: Exchange): number | undefined => {
	if (!prompt) {
		return undefined;
	}

	let bound = smallestBound;
	const length = expectedLengthOf(prompt);
	while (bound <= length && bound < largestBound) {
		bound *= 2;
	}

	return bound;
};
