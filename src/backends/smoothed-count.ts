/**
A count that goes up and down, and its mean over the last seconds.
*/
export type SmoothedCount = {
	add(change: number, now: number): void;
	/**
	The mean, what was lately counting most.
	*/
	mean(now: number): number;
};

/**
How long the past counts, in milliseconds: the time in which its weight falls to a third. Long enough for
a node of many to have sent some requests, short enough to follow a rush of callers.
*/
export const smoothingMs = 2000;

/**
Builds a count of nothing.
*/
export const createSmoothedCount = (): SmoothedCount => {
	let count = 0;
	let mean = 0;
	let countedAt = -Infinity;

	const catchUp = (now: number) => {
		const passed = Math.max(0, now - countedAt);
		mean += (count - mean) * (1 - Math.exp(-passed / smoothingMs));
		countedAt = Math.max(countedAt, now);
	};

	return {
		add(change, now) {
			catchUp(now);
			count += change;
		},
		mean(now) {
			catchUp(now);
			return mean;
		},
	};
};
