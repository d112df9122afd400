import {isRegionAllowed, type Route} from '../../routes/index.ts';
import {keyedWeight} from '../../shared/index.ts';

/**
A backend server that may become the home of a prompt part.
*/
export type PromptCandidate = {readonly id: string; readonly region: string};

/**
Weights of regions. Servers are chosen in proportion to the weight of their region.
*/
export type RegionWeights = ReadonlyMap<string, number>;

// A server that serves no other route can cache about this many times as many prompts.
const exclusiveRegionWeight = 3;

const hashRange = 2 ** 32;

/**
Computes the region weights for the long prompts of a route. Prefilling a long prompt delays the streams that run on
the same server, so regions that the other routes of the service may not use get a higher weight.
*/
export const weighRegions = (
	route: Route,
	routes: readonly Route[],
	regions: readonly string[],
): RegionWeights => {
	const services = new Set(route.services.map(({service}) => service));
	const others = routes.filter(
		(other) =>
			other.name !== route.name &&
			other.isSticky &&
			other.services.some(({service}) => services.has(service)),
	);
	return new Map(
		regions.map((region) => {
			const isShared =
				others.length === 0 ||
				others.some((other) => isRegionAllowed(other, region));
			return [region, isShared ? 1 : exclusiveRegionWeight];
		}),
	);
};

/**
Finds the home of a prompt part among the servers of all regions by weighted rendezvous hashing. All nodes find the
same server without exchanging messages, and the removal of a server moves only the parts that were placed at it.
*/
export const findPromptHome = (
	part: string,
	candidates: readonly PromptCandidate[],
	weights: RegionWeights,
): PromptCandidate | undefined => {
	const weightOf = keyedWeight(part);
	let best:
		{readonly candidate: PromptCandidate; readonly score: number} | undefined;
	for (const candidate of candidates) {
		const fraction = (weightOf(candidate.id) + 1) / (hashRange + 1);
		const score = (weights.get(candidate.region) ?? 1) / -Math.log(fraction);
		if (!best || score > best.score) {
			best = {candidate, score};
		}
	}

	return best?.candidate;
};
