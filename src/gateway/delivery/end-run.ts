import type {BackendAttemptEnd} from '../../backends/index.ts';
import {createGatewayError, type ErrorKind} from '../../errors/index.ts';
import type {DeliveryRecord} from '../exchange.ts';
import type {DeliveryContext} from './delivery-context.ts';
import type {DeliveryRun} from './delivery-run.ts';
import {retryWaitMs} from './capacity-wait.ts';

/**
Seconds after which a refused caller should come back at the least. A place in an engine becomes
free many times in this time.
*/
export const shortestRetryAfterSeconds = 0.3;

/**
Seconds after which a refused caller should come back at the most: callers heed a longer time up to a third of
what they have left only, and servers come back sooner than this can be foreseen.
*/
export const longestRetryAfterSeconds = 3;

/**
States how a request ended.
*/
export const recordRun = (
	{clock, onRecord}: DeliveryContext,
	run: DeliveryRun,
	ending: Pick<DeliveryRecord, 'result' | 'status' | 'reason'>,
): void => {
	const {exchange} = run;
	onRecord({
		exchange,
		...ending,
		outcome: run.outcome,
		steps: run.steps,
		firstByteMs:
			run.firstByteAt === undefined
				? undefined
				: run.firstByteAt - exchange.receivedAt,
		totalMs: clock() - exchange.receivedAt,
		waitedMs: run.waitedMs,
		longestPauseMs: run.longestPauseMs,
		isQuarantined: run.isQuarantined,
	});
};

/**
Takes a request out of the line, if it waits there.
*/
export const leaveQueue = (
	{clock, queue}: DeliveryContext,
	run: DeliveryRun,
): void => {
	if (!run.queued) {
		return;
	}

	queue.remove(run.queued);
	run.waitedMs += clock() - run.queued.queuedAt;
	run.queued = undefined;
};

/**
Takes a request off what is under way; nothing happens to it afterwards.
*/
export const closeRun = (context: DeliveryContext, run: DeliveryRun): void => {
	run.isOver = true;
	clearTimeout(run.timer);
	leaveQueue(context, run);
	context.runs.delete(run);
};

/**
Ends the current call, if there is one, and gives its room to what waits.
*/
export const endCurrentCall = (
	{clock, queue, forecast}: DeliveryContext,
	run: DeliveryRun,
	how: BackendAttemptEnd,
	shouldAbort: boolean,
): void => {
	const {current} = run;
	// What the line sends on must find this request without a call.
	run.current = undefined;
	if (!current) {
		return;
	}

	current.attempt?.end(how, clock());
	if (shouldAbort) {
		current.open().abort();
	}

	const now = clock();
	if (current.attempt) {
		forecast.noteRelease(run.exchange.service, now);
	}

	queue.dispatch(now);
};

/**
Answers with an error.
*/
export const refuseRun = (
	context: DeliveryContext,
	run: DeliveryRun,
	kind: ErrorKind,
	reason: string,
): void => {
	refuseWith(context, run, {
		kind,
		reason,
		comeBackSeconds: () => retryAfterSeconds(context, run),
	});
};

type Refusal = {
	readonly kind: ErrorKind;
	readonly reason: string;
	/**
	Asked where the request has not run.
	*/
	readonly comeBackSeconds: () => number;
};

const refuseWith = (
	context: DeliveryContext,
	run: DeliveryRun,
	{kind, reason, comeBackSeconds}: Refusal,
): void => {
	if (run.isOver) {
		return;
	}

	closeRun(context, run);
	const error = createGatewayError(kind, reason, {
		outcome: run.outcome,
		retryAfterSeconds:
			run.outcome === 'not-run' ? comeBackSeconds() : undefined,
	});
	const roomInMs =
		run.backoffUntil === undefined
			? undefined
			: Math.max(0, run.backoffUntil - context.clock());
	run.sink.refuse(error, run.triedServers, roomInMs);
	recordRun(context, run, {result: 'refused', status: 0, reason});
};

/**
Answers a request in quarantine: it is known that no server will run it, and until when.
*/
export const refuseQuarantined = (
	context: DeliveryContext,
	run: DeliveryRun,
): void => {
	run.isQuarantined = true;
	const standing = context.quarantineStatus(run.exchange);
	const leftMs =
		standing.kind === 'quarantined' ? standing.until - context.clock() : 0;
	const reason =
		'Backend servers crashed each time they ran this request; it is in quarantine: change it, or come back later';
	if (run.hasBegun) {
		breakOffRun(context, run, reason);
		return;
	}

	const kind = run.outcome === 'not-run' ? 'quarantined' : 'attempt-failed';
	refuseWith(context, run, {
		kind,
		reason,
		comeBackSeconds: () => Math.max(0, leftMs) / 1000,
	});
};

/**
Ends an answer that has begun by breaking its connection.
*/
export const breakOffRun = (
	context: DeliveryContext,
	run: DeliveryRun,
	reason: string,
): void => {
	closeRun(context, run);
	run.sink.abort();
	recordRun(context, run, {result: 'broken', status: 0, reason});
};

/**
Ends a request for which nothing more can be done.
*/
export const failRun = (
	context: DeliveryContext,
	run: DeliveryRun,
	reason: string,
): void => {
	if (run.hasBegun) {
		breakOffRun(context, run, reason);
		return;
	}

	const kind = run.outcome === 'not-run' ? 'overloaded' : 'attempt-failed';
	refuseRun(context, run, kind, reason);
};

// When the caller would get room if it stood last in the line, those that were refused before it included. So
// callers come back in the order in which they were refused, and spread out.
const retryAfterSeconds = (
	context: DeliveryContext,
	run: DeliveryRun,
): number => {
	if (run.hasNoCandidate) {
		return longestRetryAfterSeconds;
	}

	const {clock, forecast} = context;
	const now = clock();
	const ownSeconds = retryWaitMs(context, run) / 1000;
	const remoteSeconds = ((run.remoteAvailableAt ?? Infinity) - now) / 1000;
	forecast.noteRefusal(run.exchange.service, now);
	// The end of a rest is known and not predicted, however far away it is.
	const boundedSeconds =
		run.backoffUntil === undefined
			? Math.min(longestRetryAfterSeconds, ownSeconds)
			: ownSeconds;
	const isRemoteOnly = !run.hasLocalServer && remoteSeconds < Infinity;
	return Math.max(
		shortestRetryAfterSeconds,
		isRemoteOnly ? remoteSeconds : Math.min(boundedSeconds, remoteSeconds),
	);
};
