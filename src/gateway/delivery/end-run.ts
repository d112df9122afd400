import type {BackendAttemptEnd} from '../../backends/index.ts';
import {createGatewayError, type ErrorKind} from '../../errors/index.ts';
import {streamTailOf} from '../../response-bodies/index.ts';
import {assertNever} from '../../shared/index.ts';
import type {DeliveryRecord, IncompleteEnd} from '../exchange.ts';
import type {StreamEnd, StreamRecord} from '../stream-record.ts';
import type {DeliveryContext} from './delivery-context.ts';
import type {CurrentCall, DeliveryRun} from './delivery-run.ts';
import {retryWaitMs} from './capacity-wait.ts';

/**
Minimum time after which a refused caller should retry, in seconds. Engine slots become free many times in this
period.
*/
export const minimumRetryAfterSeconds = 0.3;

/**
Maximum predicted time after which a refused caller should retry, in seconds. Callers honor a longer time only up to
a third of their remaining time, and servers may return sooner than predicted.
*/
export const maximumPredictedRetryAfterSeconds = 3;

/**
Reports how a request ended.
*/
export const recordRun = (
	{clock, onRecord}: DeliveryContext,
	run: DeliveryRun,
	ending: Pick<DeliveryRecord, 'result' | 'status' | 'reason'>,
): void => {
	const {body, exchange} = run;
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
		receivedRoutesVersion: run.receivedRoutesVersion,
		incomplete: incompleteEndOf(run, ending.result, clock()),
		waitedMs: run.waitedMs,
		longestPauseMs: run.longestPauseMs,
		isQuarantined: run.isQuarantined,
		bodyFraming: body?.framing,
		streamTail: body?.events && streamTailOf(body.events),
		stream:
			exchange.route.kind === 'streaming'
				? streamRecordOf(run, ending.result, clock())
				: undefined,
	});
};

const incompleteEndOf = (
	{endedBy, exchange, latestCall}: DeliveryRun,
	result: DeliveryRecord['result'],
	now: number,
): IncompleteEnd | undefined => {
	if (result === 'answered' || !latestCall) {
		return undefined;
	}

	const {lastByteAt, sentAt} = latestCall;
	return {
		endedBy: result === 'caller-left' ? 'caller' : (endedBy ?? 'this-node'),
		lastByteMs:
			lastByteAt === undefined ? undefined : lastByteAt - exchange.receivedAt,
		silentMs: now - (lastByteAt ?? sentAt),
	};
};

// A server stops at the deadline that it was sent, slightly before or after the timer of this node. In milliseconds.
const deadlineToleranceMs = 50;

const streamRecordOf = (
	{
		exchange,
		start,
		chunks,
		firstByteAt,
		lastChunkAt,
		softwareVersions,
	}: DeliveryRun,
	result: DeliveryRecord['result'],
	now: number,
): StreamRecord => ({
	end: streamEndOf(result, exchange.expiresAt - now <= deadlineToleranceMs),
	loadAtStart: start?.load,
	remainingAtStartMs: start?.remainingMs,
	chunks,
	softwareVersions,
	chunkIntervalMs:
		firstByteAt !== undefined && lastChunkAt !== undefined && chunks > 1
			? (lastChunkAt - firstByteAt) / (chunks - 1)
			: undefined,
});

const streamEndOf = (
	result: DeliveryRecord['result'],
	isExpired: boolean,
): StreamEnd => {
	switch (result) {
		case 'answered': {
			return 'complete';
		}

		case 'broken': {
			return isExpired ? 'deadline' : 'upstream-failure';
		}

		case 'caller-left':
		case 'refused': {
			return result;
		}

		default: {
			return assertNever(result);
		}
	}
};

/**
Removes a request from the queue, if it is in it, and counts its time there.
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
Removes a request from the requests in flight. Nothing more happens to it afterwards.
*/
export const closeRun = (context: DeliveryContext, run: DeliveryRun): void => {
	run.isOver = true;
	clearTimeout(run.timer);
	leaveQueue(context, run);
	context.runs.delete(run);
	dropHedge(context, run, 'abandoned');
};

/**
Ends the second call of a request, if there is one.
*/
export const dropHedge = (
	context: DeliveryContext,
	run: DeliveryRun,
	end: BackendAttemptEnd,
): void => {
	const {hedge} = run;
	if (!hedge) {
		return;
	}

	run.hedge = undefined;
	run.steps.push(`second call ended: ${end}`);
	endCall(context, run, hedge.call, {end, shouldAbort: true});
	context.onHedge(run.exchange, {kind: 'dropped', end});
};

/**
Ends the current call, if there is one, and gives its capacity to queued requests.
*/
export const endCurrentCall = (
	context: DeliveryContext,
	run: DeliveryRun,
	end: BackendAttemptEnd,
	shouldAbort: boolean,
): void => {
	const {current} = run;
	// Clears the call first, because sending queued requests below may come back to this request.
	run.current = undefined;
	if (current) {
		endCall(context, run, current, {end, shouldAbort});
	}
};

const endCall = (
	{clock, queue, forecast}: DeliveryContext,
	{exchange}: DeliveryRun,
	call: CurrentCall,
	{
		end,
		shouldAbort,
	}: {readonly end: BackendAttemptEnd; readonly shouldAbort: boolean},
): void => {
	const now = clock();
	call.attempt?.end(end, now);
	call.kept?.release();
	if (shouldAbort) {
		call.open().abort();
	}

	if (call.attempt) {
		forecast.recordRelease(exchange.service, now);
	}

	queue.dispatch(now);
};

/**
Refuses a request with an error.
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
		// A retry does not help a stream that cannot be continued, and another node need not be waited for.
		computeRetryAfterSeconds: () =>
			kind === 'not-resumable' || kind === 'leaving'
				? undefined
				: retryAfterSeconds(context, run),
	});
};

type Refusal = {
	readonly kind: ErrorKind;
	readonly reason: string;
	/**
	Called only if the request has not run.
	*/
	readonly computeRetryAfterSeconds: () => number | undefined;
};

const refuseWith = (
	context: DeliveryContext,
	run: DeliveryRun,
	{kind, reason, computeRetryAfterSeconds}: Refusal,
): void => {
	if (run.isOver) {
		return;
	}

	closeRun(context, run);
	const error = createGatewayError(kind, reason, {
		outcome: run.outcome,
		retryAfterSeconds:
			run.outcome === 'not-run' ? computeRetryAfterSeconds() : undefined,
	});
	const availableInMs =
		run.backoffUntil === undefined
			? undefined
			: Math.max(0, run.backoffUntil - context.clock());
	run.sink.refuse(error, run.triedServers, availableInMs);
	recordRun(context, run, {result: 'refused', status: 0, reason});
};

/**
Refuses a request in quarantine. No server will run it until the quarantine ends, so the refusal states that time.
*/
export const refuseQuarantined = (
	context: DeliveryContext,
	run: DeliveryRun,
): void => {
	run.isQuarantined = true;
	const status = context.quarantineStatus(run.exchange);
	const remainingMs =
		status.kind === 'quarantined' ? status.until - context.clock() : 0;
	const reason =
		'Backend servers crashed each time they ran this request, or requests with the same part in their prompts; it is in quarantine: change it, or come back later';
	if (run.hasBegun) {
		abortRun(context, run, reason);
		return;
	}

	const kind = run.outcome === 'not-run' ? 'quarantined' : 'attempt-failed';
	refuseWith(context, run, {
		kind,
		reason,
		computeRetryAfterSeconds: () => Math.max(0, remainingMs) / 1000,
	});
};

/**
Ends a response that has started by closing its connection before the response is complete.
*/
export const abortRun = (
	context: DeliveryContext,
	run: DeliveryRun,
	reason: string,
): void => {
	closeRun(context, run);
	run.sink.abort();
	recordRun(context, run, {result: 'broken', status: 0, reason});
};

/**
Ends a request that cannot be retried.
*/
export const failRun = (
	context: DeliveryContext,
	run: DeliveryRun,
	reason: string,
): void => {
	if (run.hasBegun) {
		abortRun(context, run, reason);
		return;
	}

	const kind = run.outcome === 'not-run' ? 'overloaded' : 'attempt-failed';
	refuseRun(context, run, kind, reason);
};

// Predicts when the caller would get capacity at the end of the queue, behind the callers that were refused before it.
// Callers thus retry in the order in which they were refused, spread over time.
const retryAfterSeconds = (
	context: DeliveryContext,
	run: DeliveryRun,
): number => {
	if (run.hasNoCandidate) {
		return maximumPredictedRetryAfterSeconds;
	}

	const {clock, fleet, forecast} = context;
	const now = clock();
	if (fleet.isAwaitingSilentServers(run.exchange.service, now)) {
		return minimumRetryAfterSeconds;
	}

	const localSeconds = retryWaitMs(context, run) / 1000;
	const remoteSeconds = ((run.remoteAvailableAt ?? Infinity) - now) / 1000;
	forecast.recordRefusal(run.exchange.service, now);
	// The end of a backoff is known rather than predicted, so it has no upper bound.
	const boundedSeconds =
		run.backoffUntil === undefined
			? Math.min(maximumPredictedRetryAfterSeconds, localSeconds)
			: localSeconds;
	const isRemoteOnly = !run.hasLocalServer && remoteSeconds < Infinity;
	return Math.max(
		minimumRetryAfterSeconds,
		isRemoteOnly ? remoteSeconds : Math.min(boundedSeconds, remoteSeconds),
	);
};
