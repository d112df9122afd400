import type {BackendServer, Strategy} from '../configuration/index.ts';
import {assertNever, keyedWeight, type Random} from '../shared/index.ts';
import {allCandidates, type CandidatePool} from './candidate-pool.ts';
import {utilization, type BackendServerCandidate} from './candidates.ts';

/**
Inputs of a choice besides the servers.
*/
export type ChoiceContext = {
	/**
	Hash of the prompt prefix; requests with the same prefix have the same key.
	*/
	readonly prefixKey: string;

	/**
	Position of the round robin; increases by one with each choice.
	*/
	readonly turn: number;
	readonly random: Random;
};

type Choice = BackendServerCandidate | undefined;

/**
Chooses one of the candidates of the pool; returns undefined if there are none.
*/
export const chooseBackendServer = (
	strategy: Strategy,
	pool: CandidatePool,
	context: ChoiceContext,
): Choice => {
	switch (strategy.kind) {
		case 'round-robin': {
			return nextRoundRobin(pool, context.turn);
		}

		case 'least-loaded': {
			return leastBy(allCandidates(pool), utilization);
		}

		case 'power-of-two':
		case 'home-first': {
			return betterOfTwo(pool, context.random);
		}

		case 'prefix-affinity': {
			return cachedWithinBound(pool, strategy.loadBound, context);
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
Relative estimate of the time that one more request would wait; lower is better.
*/
export const costOfWaiting = (candidate: BackendServerCandidate): number =>
	((candidate.load + 1) / candidate.slots) *
	Math.max(1, candidate.expectedFirstTokenMs);

const nextRoundRobin = (
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

// Random draws before all servers are evaluated. A draw fails if the server is full, shutting down or
// rejected by its slow-start weight.
const maximumDraws = 6;

const draw = (
	pool: CandidatePool,
	random: Random,
	other: BackendServerCandidate | undefined,
): Choice => {
	for (let attempt = 0; attempt < maximumDraws; attempt += 1) {
		const server = pool.servers[random.below(pool.servers.length)]!;
		const candidate = pool.candidateFor(server);
		const isAccepted =
			candidate !== undefined && random.fraction() < candidate.weight;
		if (isAccepted && candidate.id !== other?.id) {
			return candidate;
		}
	}

	const remaining = allCandidates(pool).filter(({id}) => id !== other?.id);
	return remaining.length > 0
		? remaining[random.below(remaining.length)]
		: undefined;
};

// Power of two choices: comparing two random candidates instead of all prevents many nodes with
// the same stale load report from sending every request to the same server.
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

// A cached prefix saves at most the prefill of the prompt; a server slower than the median by more than
// this factor loses more time than that.
const slowFactor = 6;
// Lower limit of the load bound, so that the bound stays above 0 while the servers are idle.
const minimumBound = 0.05;
// Number of servers, in rendezvous order, on which a prefix may be cached.
const replicasPerPrefix = 3;

const cachedWithinBound = (
	pool: CandidatePool,
	loadBound: number,
	{prefixKey, random}: ChoiceContext,
): Choice => {
	const bound = Math.max(loadBound * pool.meanUtilization, minimumBound);
	const maximumFirstTokenMs = pool.typicalFirstTokenMs * slowFactor;
	for (const server of highestWeights(pool.servers, prefixKey)) {
		const candidate = pool.candidateFor(server);
		if (
			candidate &&
			utilization(candidate) <= bound &&
			candidate.expectedFirstTokenMs <= maximumFirstTokenMs
		) {
			return candidate;
		}
	}

	return betterOfTwo(pool, random);
};

// Rendezvous hashing: returns the servers with the highest weights without sorting all of them.
const highestWeights = (
	servers: readonly BackendServer[],
	prefixKey: string,
): readonly BackendServer[] => {
	const weightOf = keyedWeight(prefixKey);
	const top: Array<{readonly server: BackendServer; readonly weight: number}> =
		[];
	for (const server of servers) {
		const weight = weightOf(server.id);
		if (!(top.length < replicasPerPrefix || weight > top.at(-1)!.weight)) {
			continue;
		}

		top.push({server, weight});
		top.sort((left, right) => right.weight - left.weight);
		top.length = Math.min(top.length, replicasPerPrefix);
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
