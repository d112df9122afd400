import {quantile} from 'simple-statistics';

/**
Durations of the latest requests of each route.
*/
export type RouteDurations = {
	/**
	Records the duration of a request, in milliseconds. A stream that was cut at its deadline counts as well: it would have taken
	longer.
	*/
	record(route: string, milliseconds: number, expectedTokens?: number): void;
	/**
	Returns the time within which this fraction of the route's requests of a similar length was answered, in
	milliseconds. Returns undefined if there are too few samples.
	*/
	quantileMs(
		route: string,
		fraction: number,
		expectedTokens?: number,
	): number | undefined;
};

/**
Number of durations kept per route.
*/
export const samplesPerRoute = 64;

// Minimum number of samples for a quantile.
const minimumSamples = 8;

// Callers' estimates of a length are often wrong by this factor, so lengths within it are similar.
const similarLengthFactor = 2;

type Sample = {
	readonly milliseconds: number;
	readonly expectedTokens: number | undefined;
};

/**
Creates durations without samples.
*/
export const createRouteDurations = (): RouteDurations => {
	const samplesByRoute = new Map<string, readonly Sample[]>();

	return {
		record(route, milliseconds, expectedTokens) {
			const samples = samplesByRoute.get(route) ?? [];
			samplesByRoute.set(route, [
				...samples.slice(1 - samplesPerRoute),
				{milliseconds, expectedTokens},
			]);
		},
		quantileMs(route, fraction, expectedTokens) {
			const durations = (samplesByRoute.get(route) ?? [])
				.filter((sample) => isSimilar(expectedTokens, sample.expectedTokens))
				.map(({milliseconds}) => milliseconds);
			return durations.length < minimumSamples
				? undefined
				: quantile(durations, fraction);
		},
	};
};

const isSimilar = (
	left: number | undefined,
	right: number | undefined,
): boolean =>
	left === undefined ||
	right === undefined ||
	(left <= right * similarLengthFactor && right <= left * similarLengthFactor);
