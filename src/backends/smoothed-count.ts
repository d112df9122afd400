/**
A counter with an exponential moving average.
*/
export type SmoothedCount = {
	add(change: number, now: number): void;
	/**
	The exponential moving average of the count.
	*/
	mean(now: number): number;
};

/**
Time constant of the moving average, in milliseconds: the weight of a value falls to about a third in this time. It is long
enough for each of many nodes to have sent some requests, and short enough to follow a surge of callers.
*/
export const smoothingMs = 2000;

/**
Creates a counter at 0.
*/
export const createSmoothedCount = (): SmoothedCount => {
	let count = 0;
	let mean = 0;
	let updatedAt = -Infinity;

	const update = (now: number) => {
		const elapsedMs = Math.max(0, now - updatedAt);
		mean += (count - mean) * (1 - Math.exp(-elapsedMs / smoothingMs));
		updatedAt = Math.max(updatedAt, now);
	};

	return {
		add(change, now) {
			update(now);
			count += change;
		},
		mean(now) {
			update(now);
			return mean;
		},
	};
};
