/**
Requests in flight at an engine, as a multiple of its slots, up to which the most urgent requests are sent to it. Engines admit
by urgency, so these wait only behind each other for one of the next slots that become free.
*/
export const mostUrgentCapacityFactor = 1.25;

/**
The same for the least urgent requests. A full engine preempts them for more urgent ones and processes their prompts again, so
they leave slots free for those that arrive while they run.
*/
export const leastUrgentCapacityFactor = 0.75;

/**
The same for requests that are all equally urgent: nothing is preempted for them.
*/
export const singleLevelCapacityFactor = 1.5;

/**
Returns the multiple of an engine's slots up to which requests of a priority are sent to it. It answers a load that exceeds the
slots of a region: less urgent requests then leave room for more urgent ones before an engine is full.

@param levels The distinct priorities of the service's requests, in ascending order; 0 is the most urgent.
@param priority The priority of the request.
*/
export const gradedCapacityFactor = (
	levels: readonly number[],
	priority: number,
): number => {
	if (levels.length < 2) {
		return singleLevelCapacityFactor;
	}

	const lessUrgent = levels.filter((level) => level > priority).length;
	const fraction = lessUrgent / (levels.length - 1);
	return (
		leastUrgentCapacityFactor +
		(mostUrgentCapacityFactor - leastUrgentCapacityFactor) * fraction
	);
};
