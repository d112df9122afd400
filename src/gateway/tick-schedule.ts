/**
Calls a node's tick again and again, more often while requests wait.
*/
export type TickSchedule = {
	/**
	Ticks at once and from then on.
	*/
	start(): void;
	/**
	Chooses the time of the next tick anew; to be called when a first request has begun to wait.
	*/
	reschedule(): void;
	/**
	How late the event loop is, in milliseconds: by the last tick, or by the next one where that is overdue.
	Infinite before a tick was due: a node that starts takes long to come to what waits at its listeners.
	*/
	lagMs(): number;
	stop(): void;
};

/**
Milliseconds between two ticks while nothing waits for room. Each tick wakes the process, and the
shortest time that depends on it is the 300 ms for the acknowledgement of a heartbeat.
*/
export const gatewayTickMs = 150;

/**
Milliseconds between two ticks while requests wait, so that they are refused on time.
*/
export const waitingTickMs = 40;

/**
Builds a schedule that has not started.

@param waiting How many requests wait for room.
@param tick What is called.
@param clock Milliseconds that only rise.
*/
export const createTickSchedule = (
	waiting: () => number,
	tick: () => void,
	clock: () => number,
): TickSchedule => {
	let timer: NodeJS.Timeout | undefined;
	let dueAt = Infinity;
	let lateMs = Infinity;

	const reschedule = () => {
		const pauseMs = waiting() > 0 ? waitingTickMs : gatewayTickMs;
		clearTimeout(timer);
		timer = setTimeout(run, pauseMs);
		dueAt = clock() + pauseMs;
	};

	const run = () => {
		lateMs = dueAt === Infinity ? Infinity : Math.max(0, clock() - dueAt);
		reschedule();
		tick();
	};

	return {
		start: run,
		reschedule,
		lagMs: () => Math.max(lateMs, clock() - dueAt),
		stop() {
			clearTimeout(timer);
		},
	};
};
