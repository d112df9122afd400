import type {BackendServer, Strategy} from '../configuration/index.ts';
import {assertNever, keyedWeight, type Random} from '../shared/index.ts';
import {allCandidates, type CandidatePool} from './candidate-pool.ts';
import {utilization, type BackendServerCandidate} from './candidates.ts';

/**
What a choice depends on besides the servers.
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

type Choice = BackendServerCandidate | undefined;

/**
Chooses one of the servers that may be given work, or none if there are none.
*/
export const chooseBackendServer = (
	strategy: Strategy,
	pool: CandidatePool,
	context: ChoiceContext,
): Choice => {
	switch (strategy.kind) {
		case 'round-robin': {
			return nextInTurn(pool, context.turn);
		}

		case 'least-loaded': {
			return leastBy(allCandidates(pool), utilization);
		}

		case 'power-of-two':
		case 'home-first': {
			return betterOfTwo(pool, context.random);
		}

		case 'prefix-affinity': {
			return warmWithinBound(pool, strategy.loadBound, context);
		}

		case 'cheapest': {
			return cheapestWithin(
				pool,
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

const nextInTurn = (
	{servers, candidateFor}: CandidatePool,
	turn: number,
): Choice => {
	for (let step = 0; step < servers.length; step += 1) {
		const candidate = candidateFor(servers[(turn + step) % servers.length]!);
		if (candidate) {
			return candidate;
		}
	}

	return undefined;
};

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

// Draws that miss (a server that is full, leaving or still cold) are repeated so often
// before all servers are looked at.
const maximumDraws = 6;

const draw = (
	pool: CandidatePool,
	random: Random,
	other: BackendServerCandidate | undefined,
): Choice => {
	for (let attempt = 0; attempt < maximumDraws; attempt += 1) {
		const server = pool.servers[random.below(pool.servers.length)]!;
		const candidate = pool.candidateFor(server);
		const isTaken =
			candidate !== undefined && random.fraction() < candidate.weight;
		if (isTaken && candidate.id !== other?.id) {
			return candidate;
		}
	}

	const left = allCandidates(pool).filter(({id}) => id !== other?.id);
	return left.length > 0 ? left[random.below(left.length)] : undefined;
};

// Comparing two random candidates in place of taking the best of all keeps many nodes with
// the same late report from sending everything to the same server.
const betterOfTwo = (pool: CandidatePool, random: Random): Choice => {
	if (pool.servers.length === 0) {
		return undefined;
	}

	const first = draw(pool, random, undefined);
	const second = first && draw(pool, random, first);
	return second && costOfWaiting(second) < costOfWaiting(first)
		? second
		: first;
};

// A warm prefix saves at most the work on the prompt; a server this much slower than its
// neighbours costs more than that.
const slowFactor = 6;
const leastBound = 0.05;
// How many servers a prefix may be warm on before its place is not worth seeking.
const warmPlaces = 3;

const warmWithinBound = (
	pool: CandidatePool,
	loadBound: number,
	{prefixKey, random}: ChoiceContext,
): Choice => {
	const bound = Math.max(loadBound * pool.meanUtilization, leastBound);
	const slowest = pool.typicalFirstTokenMs * slowFactor;
	for (const server of heaviest(pool.servers, prefixKey)) {
		const candidate = pool.candidateFor(server);
		if (
			candidate &&
			utilization(candidate) <= bound &&
			candidate.expectedFirstTokenMs <= slowest
		) {
			return candidate;
		}
	}

	return betterOfTwo(pool, random);
};

// The first few servers of the rendezvous order, found without sorting all of them.
const heaviest = (
	servers: readonly BackendServer[],
	prefixKey: string,
): readonly BackendServer[] => {
	const weightOf = keyedWeight(prefixKey);
	const top: Array<{readonly server: BackendServer; readonly weight: number}> =
		[];
	for (const server of servers) {
		const weight = weightOf(server.id);
		if (!(top.length < warmPlaces || weight > top.at(-1)!.weight)) {
			continue;
		}

		top.push({server, weight});
		top.sort((left, right) => right.weight - left.weight);
		top.length = Math.min(top.length, warmPlaces);
	}

	return top.map(({server}) => server);
};

const cheapestWithin = (
	pool: CandidatePool,
	objectiveMs: number,
	random: Random,
): Choice => {
	const candidates = allCandidates(pool);
	const fast = candidates.filter(
		({expectedFirstTokenMs}) => expectedFirstTokenMs <= objectiveMs,
	);
	if (fast.length === 0) {
		return betterOfTwo(pool, random);
	}

	const lowest = Math.min(
		...fast.map(({costPerThousandTokens}) => costPerThousandTokens),
	);
	const cheapest = new Set(
		fast
			.filter(({costPerThousandTokens}) => costPerThousandTokens === lowest)
			.map(({id}) => id),
	);
	const servers = pool.servers.filter(({id}) => cheapest.has(id));
	return betterOfTwo({...pool, servers}, random);
};
