import type {DeliveryContext} from './delivery-context.ts';
import type {DeliveryRun} from './delivery-run.ts';

/**
Milliseconds until a request gets room, by the number of requests before it in the line. Infinite where all servers are limited and
this node is not among those that send to them.

The rate at which limited servers take requests is known, and so is the end of a rest. Those that were refused and come back
stand behind it, so an urgent request is not refused for the many less urgent ones that were.
*/
export const capacityWaitMs = (
	{clock, forecast}: DeliveryContext,
	{exchange: {service}, allowedPerSecond, backoffUntil}: DeliveryRun,
	before: number,
): number => {
	if (backoffUntil !== undefined) {
		return backoffUntil - clock() + before * retrySpacingMs;
	}

	return allowedPerSecond === undefined
		? forecast.waitMs(service, before, clock())
		: ((before + 1) * 1000) / allowedPerSecond;
};

/**
Milliseconds until a request gets room that is refused now and comes back.
*/
export const retryWaitMs = (
	context: DeliveryContext,
	run: DeliveryRun,
): number => {
	const {clock, queue, forecast} = context;
	const {service} = run.exchange;
	const before = queue.countAhead(service, Infinity);
	const returning = Math.min(
		run.allowedPerSecond === undefined
			? forecast.expectedRetries(service, clock())
			: 0,
		run.backoffUntil === undefined ? Infinity : maximumSpacedRetries,
	);
	return capacityWaitMs(context, run, before + returning);
};

/**
Time between two callers that return at the end of a rest, in milliseconds, and the most that are spread out so: they return in
the order in which they were refused.
*/
export const retrySpacingMs = 5;
export const maximumSpacedRetries = 200;
