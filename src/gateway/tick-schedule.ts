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
*/
export const createTickSchedule = (
	waiting: () => number,
	tick: () => void,
): TickSchedule => {
	let timer: NodeJS.Timeout | undefined;

	const reschedule = () => {
		clearTimeout(timer);
		timer = setTimeout(run, waiting() > 0 ? waitingTickMs : gatewayTickMs);
	};

	const run = () => {
		reschedule();
		tick();
	};

	return {
		start: run,
		reschedule,
		stop() {
			clearTimeout(timer);
		},
	};
};
