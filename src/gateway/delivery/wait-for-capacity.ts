import type {DeliveryContext} from './delivery-context.ts';
import type {DeliveryRun} from './delivery-run.ts';
import {failRun, refuseRun} from './end-run.ts';
import {capacityWaitMs, isWaitPredictable} from './capacity-wait.ts';
import {queueRefusals, reasonOf, type QueueRefusal} from './judge-queued.ts';
import type {QueuedRequest} from './request-queue.ts';

/**
The reason of a refusal for lack of capacity.
*/
export const noCapacityReason = reasonOf(queueRefusals.noCapacity);

/**
Queues a request until there is capacity for it.

@param context State that all requests in flight share.
@param run The request.
@param isSentNow Tries to send the request. Returns false if there is still no capacity.
*/
export const waitForCapacity = (
	context: DeliveryContext,
	run: DeliveryRun,
	isSentNow: () => boolean,
): void => {
	const queued = createQueuedRequest(context, run, isSentNow);
	run.queued = queued;
	context.queue.add(queued);
	context.onQueued();
};

/**
Whether a request may be queued here. A request that no server may serve is not queued, unless this node does not know
the other nodes yet or another region has refused the request.
*/
export const canQueueHere = (
	context: DeliveryContext,
	run: DeliveryRun,
	hasNoTarget: boolean,
): boolean => {
	const {clock, fleet, hasSettled, queue} = context;
	if (run.hasBegun) {
		return true;
	}

	// If the local region has no server and all servers of another one are in backoff, the end of the backoff is known: the
	// caller can be told when to retry.
	const isRemoteOnly =
		!run.hasLocalServer && run.remoteAvailableAt !== undefined;
	if (isRemoteOnly || (hasNoTarget && hasSettled())) {
		return false;
	}

	const now = clock();
	const {service, route} = run.exchange;
	const ahead = queue.countAhead(service, route.priority);
	const waitMs = fleet.isAwaitingSilentServers(service, now)
		? 0
		: capacityWaitMs(context, run, ahead);
	return now + waitMs < latestStart(context, run);
};

/**
Maximum time that a crash suspect (a request that was running when a server crashed) waits for a server without another
suspect, in milliseconds. With a longer wait, fewer requests are lost to one that crashes servers, but more are late.
*/
export const maximumIsolationWaitMs = 1000;

/**
Whether a request may be held back until a server runs no other crash suspect. A forwarded request that may not be
queued here is not held back: its origin node may know a better target and holds it back itself. No request is held back
beyond the latest start with which it would end in time.
*/
export const canBeHeldBack = (
	context: DeliveryContext,
	run: DeliveryRun,
): boolean => {
	const now = context.clock();
	const {exchange, queued} = run;
	return (
		(exchange.hop?.canWait ?? true) &&
		(!queued || now - queued.queuedAt < maximumIsolationWaitMs) &&
		now < latestStart(context, run)
	);
};

const createQueuedRequest = (
	context: DeliveryContext,
	run: DeliveryRun,
	isSentNow: () => boolean,
): QueuedRequest => {
	const now = context.clock();
	const {route, service, receivedAt, hop} = run.exchange;
	return {
		priority: route.priority,
		queuedAt: now,
		targetAt: receivedAt + route.targetLatencyMs,
		expiresAt: latestStart(context, run),
		// A stream that has begun is cut where it is when this node exits, whether it waits or not.
		expectedMs: run.hasBegun ? 0 : expectedMs(context, run),
		origin: hop?.origin,
		service,
		placementKey: placementKeyOf(context, run),
		capacityWaitMs: (ahead) => capacityWaitMs(context, run, ahead),
		isWaitPredictable: () => isWaitPredictable(context, run),
		trySend: isSentNow,
		refuse(refusal) {
			refuseQueued(context, run, refusal);
		},
	};
};

const refuseQueued = (
	context: DeliveryContext,
	run: DeliveryRun,
	refusal: QueueRefusal,
): void => {
	run.steps.push(`gave-up-waiting: ${refusal}`);
	const canBeHandedBack =
		refusal === queueRefusals.nodeLeaves &&
		!run.hasBegun &&
		run.outcome === 'not-run';
	if (canBeHandedBack) {
		refuseRun(context, run, 'leaving', reasonOf(refusal));
	} else {
		failRun(context, run, reasonOf(refusal));
	}
};

// Crash suspects have other candidate servers than other requests, so each one has a key of its own.
const placementKeyOf = (
	{quarantineStatus}: DeliveryContext,
	{exchange, excluded, fullRegions}: DeliveryRun,
): string => {
	const suspectIds =
		quarantineStatus(exchange).kind === 'clear' ? [] : [exchange.requestId];
	const {service, route} = exchange;
	return [service, route.name, ...excluded, ...fullRegions, ...suspectIds].join(
		' ',
	);
};

// Fraction of a route's requests that end in time if they start at the latest time. With half of them, the streams that
// started last reached their deadline after they had occupied a slot for seconds.
const completedFraction = 0.9;

// Returns the latest time at which a request may start. Nine in ten of the route's requests of similar length that start then
// end in time.
// For a route without samples, half of the time is reserved for the response. A stream that has started may pause for
// the target latency, because its callers do not accept a longer pause than before its first event.
const latestStart = (context: DeliveryContext, run: DeliveryRun): number => {
	const {route, expiresAt} = run.exchange;
	return run.hasBegun
		? context.clock() + route.targetLatencyMs
		: expiresAt - expectedMs(context, run);
};

const expectedMs = (
	{durations}: DeliveryContext,
	{exchange: {route, prompt, receivedAt, expiresAt}}: DeliveryRun,
): number =>
	durations.quantileMs(
		route.name,
		completedFraction,
		prompt?.expectedTokensOut,
	) ?? (expiresAt - receivedAt) / 2;
