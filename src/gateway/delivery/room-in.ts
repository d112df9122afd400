import type {DeliveryContext} from './delivery-context.ts';
import type {DeliveryRun} from './delivery-run.ts';

/**
Milliseconds until a request gets room, by the number of requests before it in the line. Infinite where all servers are limited and
this node is not among those that send to them.

The rate at which limited servers take requests is known, and so is the end of a rest. Those that were refused and come back
stand behind it, so an urgent request is not refused for the many less urgent ones that were.
*/
export const roomInMs = (
	{clock, outlook}: DeliveryContext,
	{exchange: {service}, roomPerSecond, restUntil}: DeliveryRun,
	before: number,
): number => {
	if (restUntil !== undefined) {
		return restUntil - clock() + before * returnSpacingMs;
	}

	return roomPerSecond === undefined
		? outlook.waitMs(service, before, clock())
		: ((before + 1) * 1000) / roomPerSecond;
};

/**
Milliseconds until a request gets room that is refused now and comes back.
*/
export const roomAfterReturnMs = (
	context: DeliveryContext,
	run: DeliveryRun,
): number => {
	const {clock, line, outlook} = context;
	const {service} = run.exchange;
	const before = line.before(service, Infinity);
	const returning = Math.min(
		run.roomPerSecond === undefined ? outlook.returning(service, clock()) : 0,
		run.restUntil === undefined ? Infinity : maximumReturnsAtOnce,
	);
	return roomInMs(context, run, before + returning);
};

/**
Time between two callers that return at the end of a rest, in milliseconds, and the most that are spread out so: they return in
the order in which they were refused.
*/
export const returnSpacingMs = 5;
export const maximumReturnsAtOnce = 200;
