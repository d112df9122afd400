import {quantile} from 'simple-statistics';

/**
Durations of the latest requests of each route.
*/
export type RouteDurations = {
	record(route: string, milliseconds: number): void;
	/**
	Returns the time within which this fraction of the route's requests was answered, in milliseconds. Returns undefined
	if there are too few samples.
	*/
	quantileMs(route: string, fraction: number): number | undefined;
};

/**
Number of durations kept per route.
*/
export const samplesPerRoute = 64;

// Minimum number of samples for a quantile.
const minimumSamples = 8;

/**
Creates durations without samples.
*/
export const createRouteDurations = (): RouteDurations => {
	const durations = new Map<string, readonly number[]>();

	return {
		record(route, milliseconds) {
			const samples = durations.get(route) ?? [];
			durations.set(route, [
				...samples.slice(1 - samplesPerRoute),
				milliseconds,
			]);
		},
		quantileMs(route, fraction) {
			const samples = durations.get(route) ?? [];
			return samples.length < minimumSamples
				? undefined
				: quantile(samples, fraction);
		},
	};
};
