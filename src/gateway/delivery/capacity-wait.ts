import type {DeliveryContext} from './delivery-context.ts';
import type {DeliveryRun} from './delivery-run.ts';

/**
Returns the milliseconds until a request gets capacity, given the number of requests ahead of it in the queue. The result
is infinite if all servers are rate-limited and this node is not among those that send to them.

The rate at which rate-limited servers accept requests is known, and so is the end of a backoff. In both cases, refused
callers that retry are counted behind the request, so an urgent request is not refused because many less urgent ones were.
*/
export const capacityWaitMs = (
	{clock, forecast}: DeliveryContext,
	{exchange: {service}, allowedPerSecond, backoffUntil}: DeliveryRun,
	ahead: number,
): number => {
	if (backoffUntil !== undefined) {
		return backoffUntil - clock() + ahead * retrySpacingMs;
	}

	return allowedPerSecond === undefined
		? forecast.waitMs(service, ahead, clock())
		: ((ahead + 1) * 1000) / allowedPerSecond;
};

/**
Whether the wait of a request can be predicted: from a stated rate, from the known end of a backoff, or because slots of its
service were released recently.
*/
export const isWaitPredictable = (
	{clock, forecast}: DeliveryContext,
	{exchange: {service}, allowedPerSecond, backoffUntil}: DeliveryRun,
): boolean =>
	backoffUntil !== undefined ||
	allowedPerSecond !== undefined ||
	forecast.hasRecentRelease(service, clock());

/**
Returns the milliseconds until a request that is refused now gets capacity on its retry.
*/
export const retryWaitMs = (
	context: DeliveryContext,
	run: DeliveryRun,
): number => {
	const {clock, queue, forecast} = context;
	const {service} = run.exchange;
	const ahead = queue.countAhead(service, Infinity);
	const retries = Math.min(
		run.allowedPerSecond === undefined
			? forecast.expectedRetries(service, clock())
			: 0,
		run.backoffUntil === undefined ? Infinity : maximumSpacedRetries,
	);
	return capacityWaitMs(context, run, ahead + retries);
};

/**
Time between the retries of two callers after the end of a backoff, in milliseconds, and the maximum number of callers
whose retries are spaced out like this. Callers retry in the order in which they were refused.
*/
export const retrySpacingMs = 5;
export const maximumSpacedRetries = 200;
