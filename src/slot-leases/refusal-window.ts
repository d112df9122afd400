/**
Counts the refusals of one backend server in the last second.
*/
export type RefusalWindow = {
	record(count: number, now: number): void;
	/**
	Whether the server has refused as many requests as it may.
	*/
	isExhausted(maximum: number, now: number): boolean;
};

/**
Period in which refusals are counted, in milliseconds: the one to which servers refer.
*/
export const refusalWindowMs = 1000;

// A message of another node about a refusal arrives some time after it.
const arrivalToleranceMs = 200;

// Number of refusals that are kept; more exceed every maximum that leaves room for requests.
const maximumKept = 1000;

/**
Creates a window without refusals.
*/
export const createRefusalWindow = (): RefusalWindow => {
	let times: number[] = [];

	return {
		record(count, now) {
			for (let index = 0; index < Math.min(count, maximumKept); index += 1) {
				times.push(now);
			}

			times = times.slice(-maximumKept);
		},
		isExhausted(maximum, now) {
			const from = now - refusalWindowMs - arrivalToleranceMs;
			times = times.filter((at) => at > from);
			return times.length >= maximum;
		},
	};
};
