import type {Strategy} from '../configuration/index.ts';
import {assertNever, type Random} from '../shared/index.ts';
import {utilization, type ZoneCandidate} from './candidates.ts';

/**
Inputs of the choice of a zone besides the candidates.
*/
export type ZoneContext = {
	readonly turn: number;
	readonly random: Random;
	/**
	Share of this node's recent requests that were sent outside their home region, from 0 to 1.
	*/
	readonly awayShare: number;
	/**
	Whether the home zone is overflowing now.
	*/
	readonly isOverflowing: boolean;
};

/**
Defaults of home-first placement for strategies that do not set their own values.
*/
export const overflowDefaults = {
	overflowAtLoad: 0.9,
	advantage: 1.5,
	maximumAwayShare: 0.5,
} as const;

/**
Overflow ends when utilization has fallen this far below `overflowAtLoad`; the hysteresis prevents flapping.
*/
export const overflowHysteresis = 0.15;

/**
Chooses the availability zone that serves a request; returns undefined if there are no candidates.
*/
export const chooseZone = (
	strategy: Strategy,
	candidates: readonly ZoneCandidate[],
	context: ZoneContext,
): ZoneCandidate | undefined => {
	if (candidates.length <= 1) {
		return candidates[0];
	}

	switch (strategy.kind) {
		case 'round-robin': {
			return weightedRoundRobin(candidates, context.turn);
		}

		case 'least-loaded': {
			return least(candidates, utilization);
		}

		case 'cheapest': {
			return cheapestWithin(
				candidates,
				strategy.firstTokenObjectiveMs,
				context,
			);
		}

		case 'power-of-two':
		case 'prefix-affinity': {
			return homeFirst(candidates, overflowDefaults, context);
		}

		case 'home-first': {
			return homeFirst(candidates, strategy, context);
		}

		default: {
			return assertNever(strategy);
		}
	}
};

/**
Whether a zone counts as full; the threshold is lower while overflow is active.
*/
export const isFull = (
	zone: ZoneCandidate,
	overflowAtLoad: number,
	isOverflowing: boolean,
): boolean =>
	utilization(zone) >=
	overflowAtLoad - (isOverflowing ? overflowHysteresis : 0);

const least = (
	candidates: readonly ZoneCandidate[],
	costOf: (zone: ZoneCandidate) => number,
): ZoneCandidate => {
	let best = candidates[0]!;
	for (const zone of candidates) {
		if (costOf(zone) < costOf(best)) {
			best = zone;
		}
	}

	return best;
};

const weightedRoundRobin = (
	candidates: readonly ZoneCandidate[],
	turn: number,
): ZoneCandidate => {
	const slots = candidates.reduce((sum, zone) => sum + zone.slots, 0);
	let position = turn % Math.max(1, slots);
	for (const zone of candidates) {
		position -= zone.slots;
		if (position < 0) {
			return zone;
		}
	}

	return candidates[0]!;
};

const homeFirst = (
	candidates: readonly ZoneCandidate[],
	overflow: {
		readonly overflowAtLoad: number;
		readonly advantage: number;
		readonly maximumAwayShare: number;
	},
	context: ZoneContext,
): ZoneCandidate => {
	const home = nearest(candidates.filter(({isHome}) => isHome));
	if (!home) {
		return least(candidates, expectedLatency);
	}

	const others = candidates.filter((zone) => zone !== home);
	const notFull = others.filter(
		(zone) => !isFull(zone, overflow.overflowAtLoad, false),
	);
	const inHomeRegion = notFull.filter(({isHome}) => isHome);
	const isHomeFull = isFull(
		home,
		overflow.overflowAtLoad,
		context.isOverflowing,
	);
	if (!isHomeFull || notFull.length === 0) {
		return home;
	}

	if (inHomeRegion.length > 0) {
		return sampleBetter(inHomeRegion, context.random);
	}

	const away = sampleBetter(notFull, context.random);
	const isFaster =
		confidenceAdjustedLatency(away) * overflow.advantage <
		expectedLatency(home);
	return isFaster && context.awayShare < overflow.maximumAwayShare
		? away
		: home;
};

const nearest = (zones: readonly ZoneCandidate[]): ZoneCandidate | undefined =>
	zones.find(({isLocal}) => isLocal) ??
	(zones.length > 0 ? least(zones, utilization) : undefined);

const expectedLatency = (zone: ZoneCandidate): number =>
	zone.expectedFirstTokenMs;

// Expected latency divided by the confidence, so that an older summary makes a zone look slower.
const confidenceAdjustedLatency = (zone: ZoneCandidate): number =>
	expectedLatency(zone) / Math.max(minimumTrust, zone.trust);

const minimumTrust = 0.1;

// Power of two choices, as for servers, because all nodes of a full zone see the same summary of an idle one.
const sampleBetter = (
	zones: readonly ZoneCandidate[],
	random: Random,
): ZoneCandidate => {
	const first = zones[random.below(zones.length)]!;
	const second = zones[random.below(zones.length)]!;
	return expectedLatency(second) < expectedLatency(first) ? second : first;
};

// Below the lower utilization a cheaper zone accepts every request, from the upper one on none; in
// between the share falls linearly. A single threshold would cause oscillation, because all nodes act
// on the same delayed summary.
const acceptsAllBelow = 0.5;
const acceptsNoneFrom = 0.85;

const isAccepting = (zone: ZoneCandidate, random: Random): boolean => {
	const share =
		(acceptsNoneFrom - utilization(zone)) / (acceptsNoneFrom - acceptsAllBelow);
	return random.fraction() < share;
};

// Fraction of the latency objective that a zone outside the home region must meet. Without this margin
// the requests sent there would push that zone's own callers out to more expensive zones.
const awayObjectiveFraction = 0.5;

const cheapestWithin = (
	candidates: readonly ZoneCandidate[],
	objectiveMs: number,
	context: ZoneContext,
): ZoneCandidate => {
	const home = nearest(candidates.filter(({isHome}) => isHome));
	const homeCost = home?.costPerThousandTokens ?? Infinity;
	const cheaper = candidates
		.filter(
			(zone) =>
				zone.costPerThousandTokens < homeCost &&
				confidenceAdjustedLatency(zone) <=
					objectiveMs * (zone.isHome ? 1 : awayObjectiveFraction),
		)
		.toSorted(
			(left, right) => left.costPerThousandTokens - right.costPerThousandTokens,
		);
	return (
		cheaper.find((zone) => isAccepting(zone, context.random)) ??
		homeFirst(candidates, overflowDefaults, context)
	);
};
