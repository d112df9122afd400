/**
Pace of the streams of one server or of all servers of a service: the recent time between two chunks of a stream.
*/
export type ChunkPace = {
	/**
	Records the time between two chunks, in milliseconds.
	*/
	record(intervalMs: number, now: number): void;
	/**
	Returns the average interval in milliseconds. With few recent samples it is close to the assumption.

	@param assumedMs Interval that is assumed without samples, in milliseconds.
	*/
	meanMs(now: number, assumedMs: number): number;
	/**
	Returns the average interval in milliseconds, which declines to 0 while there are no new samples, so that a server that was slow
	is tried again.
	*/
	recentMs(now: number): number;
};

/**
Time constant of the average, in milliseconds. Engines start and finish long prompts within it.
*/
export const paceSmoothingMs = 1500;

// Time after the latest sample at which a measurement has expired, in milliseconds: about the duration of a stream.
const maximumAgeMs = 3000;

// Number of samples that outweigh the assumption.
const assumedSamples = 8;

/**
Creates a pace without samples.
*/
export const createChunkPace = (): ChunkPace => {
	let sum = 0;
	let samples = 0;
	let updatedAt = -Infinity;
	let recordedAt = -Infinity;

	const decay = (now: number) => {
		const elapsedMs = Math.max(0, now - updatedAt);
		const weight = Math.exp(-elapsedMs / paceSmoothingMs);
		sum *= weight;
		samples *= weight;
		updatedAt = Math.max(updatedAt, now);
	};

	const meanMs = (now: number, assumedMs: number): number => {
		decay(now);
		return (sum + assumedMs * assumedSamples) / (samples + assumedSamples);
	};

	return {
		record(intervalMs, now) {
			decay(now);
			sum += intervalMs;
			samples += 1;
			recordedAt = now;
		},
		meanMs,
		recentMs(now) {
			const weight = Math.max(0, 1 - (now - recordedAt) / maximumAgeMs);
			return meanMs(now, 0) * weight;
		},
	};
};
