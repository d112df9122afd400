import {quantile} from 'simple-statistics';

/**
How long the latest requests of each route took.
*/
export type RouteDurations = {
	record(route: string, milliseconds: number): void;
	/**
	The time within which this part of a route's requests was answered, in milliseconds; undefined where too
	few were seen.
	*/
	quantileMs(route: string, part: number): number | undefined;
};

/**
Requests of a route that are remembered.
*/
export const samplesPerRoute = 64;

// With fewer requests seen nothing is said of a route.
const fewestRequests = 8;

/**
Builds durations of routes of which nothing is known.
*/
export const createRouteDurations = (): RouteDurations => {
	const durations = new Map<string, readonly number[]>();

	return {
		record(route, milliseconds) {
			const seen = durations.get(route) ?? [];
			durations.set(route, [...seen.slice(1 - samplesPerRoute), milliseconds]);
		},
		quantileMs(route, part) {
			const seen = durations.get(route) ?? [];
			return seen.length < fewestRequests ? undefined : quantile(seen, part);
		},
	};
};
