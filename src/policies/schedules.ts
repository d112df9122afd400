import type {Policy} from '../configuration/index.ts';

const dayNames = ['sun', 'mon', 'tue', 'wed', 'thu', 'fri', 'sat'] as const;
const millisecondsPerHour = 3_600_000;
const hoursPerDay = 24;

/**
 Returns whether a schedule is active at a wall-clock time (milliseconds since the Unix epoch).

 Hours are in UTC. A window whose end is not after its start spans midnight.
 */
export const isScheduled = (
	schedule: Policy['schedule'],
	wallClock: number,
): boolean => {
	if (!schedule) {
		return true;
	}

	const day = dayNames[new Date(wallClock).getUTCDay()]!;
	if (schedule.days && !schedule.days.includes(day)) {
		return false;
	}

	const hour = (wallClock / millisecondsPerHour) % hoursPerDay;
	const {fromHourUtc, untilHourUtc} = schedule;
	return fromHourUtc < untilHourUtc
		? hour >= fromHourUtc && hour < untilHourUtc
		: hour >= fromHourUtc || hour < untilHourUtc;
};
