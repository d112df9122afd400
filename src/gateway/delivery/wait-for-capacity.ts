import type {DeliveryContext} from './delivery-context.ts';
import type {DeliveryRun} from './delivery-run.ts';
import {failRun} from './end-run.ts';
import {capacityWaitMs} from './capacity-wait.ts';
import type {QueuedRequest} from './request-queue.ts';

/**
Why a request is refused that found no room.
*/
export const noCapacityReason = 'No backend server has room';

/**
Lets a request wait in the line.

@param context What all requests under way share.
@param run The request.
@param isSentNow Tries to send it; false while there is still no room.
*/
export const waitForCapacity = (
	context: DeliveryContext,
	run: DeliveryRun,
	isSentNow: () => boolean,
): void => {
	const queued = createWaitingRequest(context, run, isSentNow);
	run.queued = queued;
	context.queue.add(queued);
	context.onWaiting();
};

/**
Whether a request may wait here. With nowhere to go there is nothing to wait for, but at a node that knows little yet,
and where another region has only just refused.
*/
export const canWaitHere = (
	context: DeliveryContext,
	run: DeliveryRun,
	hasNoPlace: boolean,
): boolean => {
	const {clock, hasSettled, queue} = context;
	if (run.hasBegun) {
		return true;
	}

	// Where all servers of another region rest and there is none here, the end of the rest is known.
	const isRemoteOnly =
		!run.hasLocalServer && run.remoteAvailableAt !== undefined;
	if (isRemoteOnly || (hasNoPlace && hasSettled())) {
		return false;
	}

	const now = clock();
	const {service, route} = run.exchange;
	const before = queue.countAhead(service, route.priority);
	return now + capacityWaitMs(context, run, before) < lastStart(context, run);
};

/**
How long a request that was at a crash waits for a server without another such request at the most, in milliseconds. The
longer it waits, the fewer others are lost beside one that crashes servers, and the more of them come late.
*/
export const maximumIsolationWaitMs = 1000;

/**
Whether a request may be held back for others that were at a crash. One that another node sent here may know a better place
than a line, and that node holds it back itself; none is held beyond the moment from which it would not end in time.
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
		now < lastStart(context, run)
	);
};

const createWaitingRequest = (
	context: DeliveryContext,
	run: DeliveryRun,
	isSentNow: () => boolean,
): QueuedRequest => {
	const now = context.clock();
	const {route, service, receivedAt} = run.exchange;
	return {
		priority: route.priority,
		queuedAt: now,
		targetAt: receivedAt + route.targetLatencyMs,
		expiresAt: lastStart(context, run),
		service,
		placementKey: roomKeyOf(context, run),
		capacityWaitMs: (before) => capacityWaitMs(context, run, before),
		trySend: isSentNow,
		giveUp() {
			run.steps.push('gave-up-waiting');
			failRun(context, run, noCapacityReason);
		},
	};
};

// A request that was at a crash has other servers to go to than the others.
const roomKeyOf = (
	{quarantineStatus}: DeliveryContext,
	{exchange, excluded, fullRegions}: DeliveryRun,
): string => {
	const own =
		quarantineStatus(exchange).kind === 'clear' ? [] : [exchange.requestId];
	const {service, route} = exchange;
	return [service, route.name, ...excluded, ...fullRegions, ...own].join(' ');
};

// The part of a route's requests that are to end in time if they start at the last moment. With half of them,
// streams that started last were cut by their deadline after they had kept a place for seconds.
const endedPart = 0.9;

// Nine in ten of a route's requests that start then are over in time. Of a route of which nothing is known, half
// of the time is left for the answer. Callers of a stream that has begun do not bear a longer pause than they
// hope to wait for its beginning.
const lastStart = (
	{durations, clock}: DeliveryContext,
	{exchange, hasBegun}: DeliveryRun,
): number => {
	const {route, receivedAt, expiresAt} = exchange;
	if (hasBegun) {
		return clock() + route.targetLatencyMs;
	}

	const usualMs =
		durations.quantileMs(route.name, endedPart) ?? (expiresAt - receivedAt) / 2;
	return expiresAt - usualMs;
};
