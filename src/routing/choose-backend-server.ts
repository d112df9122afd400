import type {Strategy} from '../configuration/index.ts';
import {assertNever, rendezvousOrder, type Random} from '../shared/index.ts';
import {utilization, type BackendServerCandidate} from './candidates.ts';

/**
What a choice depends on besides the candidates.
*/
export type ChoiceContext = {
	/**
	Groups requests that share a prompt prefix.
	*/
	readonly prefixKey: string;
	/**
	Rises by one with each choice; drives round robin.
	*/
	readonly turn: number;
	readonly random: Random;
};

/**
Chooses one of the candidates, or none if there are none.
*/
export const chooseBackendServer = (
	strategy: Strategy,
	candidates: readonly BackendServerCandidate[],
	context: ChoiceContext,
): BackendServerCandidate | undefined => {
	if (candidates.length <= 1) {
		return candidates[0];
	}

	switch (strategy.kind) {
		case 'round-robin': {
			return candidates[context.turn % candidates.length];
		}

		case 'least-loaded': {
			return leastBy(candidates, utilization);
		}

		case 'power-of-two':
		case 'home-first': {
			return betterOfTwo(candidates, context.random);
		}

		case 'prefix-affinity': {
			return warmWithinBound(candidates, strategy.loadBound, context);
		}

		case 'cheapest': {
			return cheapestWithin(
				candidates,
				strategy.firstTokenObjectiveMs,
				context.random,
			);
		}

		default: {
			return assertNever(strategy);
		}
	}
};

/**
The time a further request would wait, as far as known; lower is better.
*/
export const costOfWaiting = (candidate: BackendServerCandidate): number =>
	((candidate.load + 1) / candidate.slots) *
	Math.max(1, candidate.expectedFirstTokenMs);

const leastBy = <Item>(
	items: readonly Item[],
	costOf: (item: Item) => number,
): Item | undefined => {
	let best: Item | undefined;
	let bestCost = Infinity;
	for (const item of items) {
		const cost = costOf(item);
		if (!(cost < bestCost)) {
			continue;
		}

		best = item;
		bestCost = cost;
	}

	return best;
};

const drawWeighted = (
	candidates: readonly BackendServerCandidate[],
	random: Random,
): BackendServerCandidate => {
	let total = 0;
	for (const {weight, slots} of candidates) {
		total += weight * slots;
	}

	let left = random.fraction() * total;
	for (const candidate of candidates) {
		left -= candidate.weight * candidate.slots;
		if (left < 0) {
			return candidate;
		}
	}

	return candidates.at(-1)!;
};

// Comparing two random candidates in place of taking the best of all keeps many nodes with
// the same late report from sending everything to the same server.
const betterOfTwo = (
	candidates: readonly BackendServerCandidate[],
	random: Random,
): BackendServerCandidate => {
	const first = drawWeighted(candidates, random);
	const others = candidates.filter((candidate) => candidate !== first);
	const second = drawWeighted(others, random);
	return costOfWaiting(second) < costOfWaiting(first) ? second : first;
};

const warmWithinBound = (
	candidates: readonly BackendServerCandidate[],
	loadBound: number,
	context: ChoiceContext,
): BackendServerCandidate => {
	const loads = candidates.reduce((sum, {load}) => sum + load, 0) + 1;
	const slots = candidates.reduce((sum, candidate) => sum + candidate.slots, 0);
	const bound = Math.max(loadBound * (loads / slots), 0.05);
	const typicalMs = median(
		candidates.map(({expectedFirstTokenMs}) => expectedFirstTokenMs),
	);
	const warm = rendezvousOrder(
		context.prefixKey,
		candidates,
		({id}) => id,
	).find(
		(candidate) =>
			utilization(candidate) <= bound &&
			candidate.expectedFirstTokenMs <= typicalMs * slowFactor,
	);
	return warm ?? betterOfTwo(candidates, context.random);
};

// A warm prefix saves at most the work on the prompt; a server this much slower than its
// neighbours costs more than that.
const slowFactor = 3;

const median = (values: readonly number[]): number =>
	values.toSorted((left, right) => left - right)[
		Math.floor(values.length / 2)
	] ?? 0;

const cheapestWithin = (
	candidates: readonly BackendServerCandidate[],
	objectiveMs: number,
	random: Random,
): BackendServerCandidate => {
	const fast = candidates.filter(
		({expectedFirstTokenMs}) => expectedFirstTokenMs <= objectiveMs,
	);
	if (fast.length === 0) {
		return betterOfTwo(candidates, random);
	}

	const lowest = Math.min(
		...fast.map(({costPerThousandTokens}) => costPerThousandTokens),
	);
	const cheapest = fast.filter(
		({costPerThousandTokens}) => costPerThousandTokens === lowest,
	);
	return cheapest.length === 1 ? cheapest[0]! : betterOfTwo(cheapest, random);
};
