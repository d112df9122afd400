import type {DeliveryContext} from './delivery-context.ts';
import type {DeliveryRun} from './delivery-run.ts';

/**
Milliseconds until a request gets room that has so many before it in the line. Infinite where all servers are limited and
this node is not among those that send to them.

The rate at which limited servers take requests is known. Those that were refused and come back stand behind it, so an
urgent request is not refused for the many less urgent ones that were.
*/
export const roomInMs = (
	{clock, outlook}: DeliveryContext,
	{exchange: {service}, roomPerSecond}: DeliveryRun,
	before: number,
): number =>
	roomPerSecond === undefined
		? outlook.waitMs(service, before, clock())
		: ((before + 1) * 1000) / roomPerSecond;

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
	const returning =
		run.roomPerSecond === undefined ? 0 : outlook.returning(service, clock());
	return roomInMs(context, run, before + returning);
};
