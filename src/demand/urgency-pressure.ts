/**
Lowers the capacity that less urgent requests may use while more urgent ones find none.

It answers a load of urgent requests that exceeds the slots which less urgent ones leave free: those hold their slots for seconds,
so they have to take fewer before the urgent ones can take more.
*/
export type UrgencyPressure = {
	/**
	Records that a request of a priority found no capacity.
	*/
	recordFull(service: string, priority: number, now: number): void;
	/**
	Returns the fraction of their usual capacity that requests of a priority may use.
	*/
	factor(service: string, priority: number, now: number): number;
	/**
	Returns the lowest of these fractions.
	*/
	lowest(): number;
};

/**
Interval at which the fraction changes, in milliseconds: the interval of the reports that show what the last change did.
*/
export const pressureIntervalMs = 400;

/**
Minimum fraction. Requests of no priority are shut out, however many more urgent ones there are.
*/
export const minimumPressureFactor = 0.25;

// Changes per interval. The fraction falls faster than it recovers, because slots become free only as streams end.
const decrease = 0.1;
const increase = 0.05;

type Level = {
	factor: number;
	updatedAt: number;
};

/**
Creates a pressure without records.
*/
export const createUrgencyPressure = (): UrgencyPressure => {
	const fullAt = new Map<string, Map<number, number>>();
	const levels = new Map<string, Level>();

	const isMoreUrgentFull = (
		service: string,
		priority: number,
		since: number,
	): boolean =>
		fullAt
			.get(service)
			?.entries()
			.some(([each, at]) => each < priority && at > since) ?? false;

	return {
		recordFull(service, priority, now) {
			const known = fullAt.get(service) ?? new Map<number, number>();
			fullAt.set(service, known.set(priority, now));
		},
		factor(service, priority, now) {
			const key = `${priority} ${service}`;
			const level = levels.get(key) ?? {factor: 1, updatedAt: now};
			levels.set(key, level);
			const intervals = Math.floor(
				(now - level.updatedAt) / pressureIntervalMs,
			);
			if (intervals <= 0) {
				return level.factor;
			}

			const isPressed = isMoreUrgentFull(service, priority, level.updatedAt);
			level.updatedAt += intervals * pressureIntervalMs;
			level.factor = isPressed
				? Math.max(minimumPressureFactor, level.factor - decrease)
				: Math.min(1, level.factor + increase * intervals);
			return level.factor;
		},
		lowest: () => Math.min(1, ...levels.values().map(({factor}) => factor)),
	};
};
