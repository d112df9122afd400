/**
Reasons why a request was lost or late, derived from the log line of its node.
*/
export const causes = [
	'no room',
	'no server that may serve it',
	'stream could not be continued',
	'this node was not ready',
	'no connection to a server or node',
	'server broke off before the first event',
	'server broke off midway',
	'silent server',
	'too slow to end in time',
	'fault of a server',
	'late by waiting for room',
	'late by a second try',
	'late at the server',
	'late by way of another node',
	'seen by no line',
] as const;

/**
Reason why a request was lost or late.
*/
export type Cause = (typeof causes)[number];

/**
Log line of a node about a request that it received from a caller. Durations are in milliseconds.
*/
export type RequestLine = {
	/**
	Time at which the line was written, in seconds.
	*/
	readonly at: number;
	readonly node: string;
	readonly route: string;
	readonly result: string;
	readonly outcome: string;
	readonly reason: string;
	readonly steps: string;
	readonly firstByteMs: number | undefined;
	readonly waitedMs: number;
	readonly totalMs: number;
	readonly targetMs: number;
	readonly status: number;
	/**
	Set for streams with a stated size.
	*/
	readonly stream?: StreamLine | undefined;
};

/**
What a log line says about a stream.
*/
export type StreamLine = {
	/**
	Size in tokens of prefill; see `sizeOf` of the gateway.
	*/
	readonly size: number;
	readonly end: string;
	readonly remainingAtStartMs: number | undefined;
	readonly chunks: number;
	readonly chunkIntervalMs: number | undefined;
	readonly loadAtStart: number | undefined;
};

const brokenConnection = /closed|reset|ended in the middle|is missing/iv;
const noConnection = /connect|timeout/iv;
// Fraction of a delay; a request that waited longer for capacity is late for that reason.
const queueingFraction = 0.5;

/**
Returns why a request was lost or late, or undefined if it was neither.
*/
export const causeOf = (line: RequestLine): Cause | undefined => {
	if (line.result === 'answered') {
		return line.status < failureStatus
			? causeOfDelay(line)
			: 'fault of a server';
	}

	return redirectReason.test(line.reason) ? undefined : causeOfLoss(line);
};

const failureStatus = 500;
// A stopping node tells the caller to retry at once. The retry has another id and its own log line.
const redirectReason = /ends before the request/iv;

const causeOfLoss = ({
	result,
	outcome,
	reason,
	firstByteMs,
}: RequestLine): Cause => {
	if (result === 'rejected') {
		return 'this node was not ready';
	}

	if (/began the stream/iv.test(reason)) {
		return 'stream could not be continued';
	}

	if (/no backend server that/iv.test(reason)) {
		return 'no server that may serve it';
	}

	if (/no backend server ha[ds]|room/iv.test(reason)) {
		return 'no room';
	}

	if (outcome === 'not-run' && noConnection.test(reason)) {
		return 'no connection to a server or node';
	}

	const hasBegun = firstByteMs !== undefined;
	if (result !== 'caller-left' && brokenConnection.test(reason)) {
		return hasBegun
			? 'server broke off midway'
			: 'server broke off before the first event';
	}

	if (/answered|signature|too long|belongs/iv.test(reason)) {
		return 'fault of a server';
	}

	return hasBegun ? 'too slow to end in time' : 'silent server';
};

const causeOfDelay = ({
	firstByteMs,
	waitedMs,
	targetMs,
	steps,
}: RequestLine): Cause | undefined => {
	if (firstByteMs === undefined || firstByteMs <= targetMs) {
		return undefined;
	}

	if (waitedMs > (firstByteMs - targetMs) * queueingFraction) {
		return 'late by waiting for room';
	}

	const tries = steps
		.split(' | ')
		.filter((step) => /^(?:server|node) /v.test(step));
	if (tries.length > 1) {
		return 'late by a second try';
	}

	return steps.startsWith('node ')
		? 'late by way of another node'
		: 'late at the server';
};
