import {performance} from 'node:perf_hooks';

/**
Calls a node's tick periodically, and more often while requests wait.
*/
export type TickSchedule = {
	/**
	Ticks at once and periodically from then on.
	*/
	start(): void;
	/**
	Reschedules the next tick; called when a first request has begun to wait.
	*/
	reschedule(): void;
	/**
	Delay of the event loop in milliseconds: that of the last tick, or of the next one if it is overdue. Infinite before the
	first scheduled tick, because a starting node is slow to process what is pending at its listeners.
	*/
	lagMs(): number;
	/**
	Fraction of the time between the last two ticks in which the event loop was not idle, from 0 to 1.
	*/
	utilization(): number;
	stop(): void;
};

/**
Interval between ticks while no request waits for capacity, in milliseconds. Each tick wakes the process, and the
shortest timeout that depends on it is the 300 ms for the acknowledgement of a heartbeat.
*/
export const gatewayTickMs = 150;

/**
Interval between ticks while requests wait, in milliseconds; short, so that they are refused on time.
*/
export const waitingTickMs = 40;

/**
Creates a schedule that has not started.

@param waiting Returns the number of requests that wait for capacity.
@param tick Called at each tick.
@param clock Monotonic clock in milliseconds.
*/
export const createTickSchedule = (
	waiting: () => number,
	tick: () => void,
	clock: () => number,
): TickSchedule => {
	let timer: NodeJS.Timeout | undefined;
	let isStopped = false;
	let dueAt = Infinity;
	let lastLagMs = Infinity;
	let lastUsage = performance.eventLoopUtilization();
	let utilization = 0;

	const reschedule = () => {
		if (isStopped) {
			return;
		}

		const intervalMs = waiting() > 0 ? waitingTickMs : gatewayTickMs;
		clearTimeout(timer);
		timer = setTimeout(run, intervalMs);
		dueAt = clock() + intervalMs;
	};

	const run = () => {
		lastLagMs = dueAt === Infinity ? Infinity : Math.max(0, clock() - dueAt);
		const usage = performance.eventLoopUtilization();
		({utilization} = performance.eventLoopUtilization(usage, lastUsage));
		lastUsage = usage;
		reschedule();
		tick();
	};

	return {
		start: run,
		reschedule,
		lagMs: () => Math.max(lastLagMs, clock() - dueAt),
		utilization: () => utilization,
		stop() {
			isStopped = true;
			clearTimeout(timer);
		},
	};
};
