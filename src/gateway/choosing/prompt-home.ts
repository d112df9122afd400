import {isRegionAllowed, type Route} from '../../routes/index.ts';
import {keyedWeight} from '../../shared/index.ts';

/**
A backend server that may hold a prompt.
*/
export type PromptCandidate = {readonly id: string; readonly region: string};

/**
Weight of a server by its region: how much more often it is chosen than others.
*/
export type RegionWeights = ReadonlyMap<string, number>;

// A server that serves no other route can hold about this many times as many prompts.
const undisturbedWeight = 3;

const hashRange = 2 ** 32;

/**
Weighs regions for the long prompts of a route. Long prompts delay the streams that run beside
them, so servers that the other routes of the service may not use come first.
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
			const isDisturbed =
				others.length === 0 ||
				others.some((other) => isRegionAllowed(other, region));
			return [region, isDisturbed ? 1 : undisturbedWeight];
		}),
	);
};

/**
The one server, over all regions, by which a prompt part is placed: weighted rendezvous hashing, so
that each node finds the same one without a message, and a server that goes moves its own parts only.
*/
export const findPromptHome = (
	part: string,
	holders: readonly PromptCandidate[],
	weights: RegionWeights,
): PromptCandidate | undefined => {
	const weightOf = keyedWeight(part);
	let best:
		{readonly holder: PromptCandidate; readonly score: number} | undefined;
	for (const holder of holders) {
		const draw = (weightOf(holder.id) + 1) / (hashRange + 1);
		const score = (weights.get(holder.region) ?? 1) / -Math.log(draw);
		if (!best || score > best.score) {
			best = {holder, score};
		}
	}

	return best?.holder;
};
