import type {Strategy} from '../configuration/index.ts';
import {assertNever, type Random} from '../shared/index.ts';
import {utilization, type ZoneCandidate} from './candidates.ts';

/**
What a choice of zone depends on besides the candidates.
*/
export type ZoneContext = {
	readonly turn: number;
	readonly random: Random;
	/**
	Share of recent requests of this node that were sent away, from 0 to 1.
	*/
	readonly awayShare: number;
	/**
	Whether requests are being sent away at present.
	*/
	readonly isOverflowing: boolean;
};

/**
Defaults of home-first placement, used by every strategy that does not set its own.
*/
export const overflowDefaults = {
	overflowAtLoad: 0.9,
	advantage: 1.5,
	maximumAwayShare: 0.5,
} as const;

/**
Overflow ends only once load has fallen this far below where it began.
*/
export const overflowHysteresis = 0.15;

/**
Chooses the availability zone that serves a request, or none if there are none.
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
			return inTurn(candidates, context.turn);
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
Whether a zone counts as full, given whether overflow is already under way.
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

const inTurn = (
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
		return least(candidates, expected);
	}

	const others = candidates.filter((zone) => zone !== home);
	const roomy = others.filter(
		(zone) => !isFull(zone, overflow.overflowAtLoad, false),
	);
	const neighbour = roomy.filter(({isHome}) => isHome);
	const isHomeFull = isFull(
		home,
		overflow.overflowAtLoad,
		context.isOverflowing,
	);
	if (!isHomeFull || roomy.length === 0) {
		return home;
	}

	if (neighbour.length > 0) {
		return sampleBetter(neighbour, context.random);
	}

	const away = sampleBetter(roomy, context.random);
	const isWorthIt = doubtful(away) * overflow.advantage < expected(home);
	return isWorthIt && context.awayShare < overflow.maximumAwayShare
		? away
		: home;
};

const nearest = (zones: readonly ZoneCandidate[]): ZoneCandidate | undefined =>
	zones.find(({isLocal}) => isLocal) ??
	(zones.length > 0 ? least(zones, utilization) : undefined);

const expected = (zone: ZoneCandidate): number => zone.expectedFirstTokenMs;

// What is known of another zone counts for less the older it is.
const doubtful = (zone: ZoneCandidate): number =>
	expected(zone) / Math.max(leastTrust, zone.trust);

const leastTrust = 0.1;

// Two at random, as for servers: all nodes of a busy zone see the same summary of a quiet one.
const sampleBetter = (
	zones: readonly ZoneCandidate[],
	random: Random,
): ZoneCandidate => {
	const first = zones[random.below(zones.length)]!;
	const second = zones[random.below(zones.length)]!;
	return expected(second) < expected(first) ? second : first;
};

// Below this use a cheap zone takes whatever comes, above the upper end nothing; in between
// it takes a falling share. A sharp edge would send all nodes there at once and away again,
// for they all see the same summary, and late.
const takesAllBelow = 0.5;
const takesNoneFrom = 0.85;

const isTaking = (zone: ZoneCandidate, random: Random): boolean => {
	const share =
		(takesNoneFrom - utilization(zone)) / (takesNoneFrom - takesAllBelow);
	return random.fraction() < share;
};

// A zone takes requests of others only while it is far from the objective itself; else its own
// callers would be pushed out to dearer zones.
const awayMargin = 0.5;

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
				doubtful(zone) <= objectiveMs * (zone.isHome ? 1 : awayMargin),
		)
		.toSorted(
			(left, right) => left.costPerThousandTokens - right.costPerThousandTokens,
		);
	return (
		cheaper.find((zone) => isTaking(zone, context.random)) ??
		homeFirst(candidates, overflowDefaults, context)
	);
};
