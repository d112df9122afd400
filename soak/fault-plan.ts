/**
Derives the faults of a soak test from a seed.
*/
import {createRandom, type Random} from '../src/shared/index.ts';
import type {WholeReturn} from './soak-nodes.ts';

/**
Fault, its target and its duration.
*/
export type Fault =
	| {
			readonly kind: 'freeze' | 'kill' | 'stop';
			/**
			Index of the node.
			*/
			readonly node: number;
			readonly forMs: number;
	  }
	| {
			readonly kind:
				| 'leave'
				| 'limit'
				| 'refuse'
				| 'rest'
				| 'fail'
				| 'break'
				| 'hang'
				| 'crash'
				| 'upgrade'
				| 'unframed'
				/**
				Responses, also to health checks, never end.
				*/
				| 'endless';
			/**
			Index of the backend server.
			*/
			readonly server: number;
			readonly forMs: number;
	  }
	/**
	Some servers, or all of them, send nothing for a time within the patience of callers and go on. The routes, time-outs and idle time
	change meanwhile.
	*/
	| {
			readonly kind: 'silence';
			readonly servers: number;
			readonly forMs: number;
	  }
	/**
	All servers are so slow that requests wait, and a node is stopped meanwhile.
	*/
	| {
			readonly kind: 'crowd';
			readonly node: number;
			readonly forMs: number;
	  }
	/**
	Many callers send one node bodies of the maximum length at once.
	*/
	| {readonly kind: 'flood'; readonly node: number; readonly callers: number}
	/**
	All nodes are killed and return, once or in series.
	*/
	| {
			readonly kind: 'whole-return';
			readonly times: number;
			readonly how: WholeReturn['how'];
			/**
			What else is in trouble: the registry is away from before the loss until after the return, all servers are replaced by ones of
			the next version meanwhile, or a server stops for a time.
			*/
			readonly beside: 'nothing' | 'registry-away' | 'upgrade' | 'crash';
			/**
			Time for which the nodes are down, in milliseconds.
			*/
			readonly forMs: number;
			readonly startGapMs: WholeReturn['startGapMs'];
	  }
	| {readonly kind: 'registry-away' | 'routes'; readonly forMs: number}
	| {
			readonly kind: 'registry-restored';
			readonly forMs: number;
			/**
			Number of the latest writes that the backup lacks.
			*/
			readonly writes: number;
	  }
	/**
	`fatal-part`: from then on, all servers crash on one part of prompts. `brittle`: all servers are slow and fail when they have to
	refuse too many requests.
	*/
	| {
			readonly kind: 'fatal-part' | 'brittle';
			readonly forMs: number;
	  };

/**
Fault and its start time, in milliseconds since the load started.
*/
export type PlannedFault = {readonly at: number; readonly fault: Fault};

/**
Seed, length and size of the soak test to plan faults for.
*/
export type PlanOptions = {
	readonly seed: number;
	readonly nodes: number;
	readonly servers: number;
	readonly lengthMs: number;
};

const nodeFaults = ['freeze', 'kill', 'stop'] as const;
const serverFaults = [
	'leave',
	'limit',
	'refuse',
	'rest',
	'fail',
	'break',
	'hang',
	'crash',
	'upgrade',
	'unframed',
] as const;

const minimumSilenceMs = 300;
const silenceRangeMs = 1500;
const maximumLostWrites = 8;
const minimumDurationMs = 500;
const maximumDurationMs = 4000;
const minimumGapMs = 50;
const gapRangeMs = 900;

/**
Plans faults that start before `lengthMs` and may overlap.
*/
export const planFaults = (options: PlanOptions): readonly PlannedFault[] => {
	const random = createRandom(options.seed);
	const plan: PlannedFault[] = [];
	let at = 500;
	while (at < options.lengthMs) {
		plan.push({at, fault: drawFault(random, options)});
		at += minimumGapMs + random.below(gapRangeMs);
	}

	return [
		...plan,
		...planRareFaults(options),
		...planWholeReturn(options),
		...planFlood(options),
	].toSorted((left, right) => left.at - right.at);
};

const rareSeedOffset = 1_000_003;
const minimumRareGapMs = 3000;
const rareGapRangeMs = 5000;

// These are drawn by themselves, so that the other faults of a seed stay the same.
const planRareFaults = ({
	seed,
	nodes,
	servers,
	lengthMs,
}: PlanOptions): readonly PlannedFault[] => {
	const random = createRandom(seed + rareSeedOffset);
	const plan: PlannedFault[] = [];
	let at = minimumRareGapMs;
	while (at < lengthMs) {
		const forMs =
			minimumDurationMs + random.below(maximumDurationMs - minimumDurationMs);
		const fault: Fault =
			random.below(2) === 0
				? {kind: 'crowd', node: random.below(nodes - 1), forMs}
				: {kind: 'endless', server: random.below(servers - 1), forMs};
		plan.push({at, fault});
		at += minimumRareGapMs + random.below(rareGapRangeMs);
	}

	return plan;
};

const returnSeedOffset = 2_000_003;
const minimumDownMs = 200;
const downRangeMs = 1500;
const maximumReturns = 3;
const startGapRangeMs = 900;

/**
Draws how all nodes are killed and return; `name` distinguishes several returns of one seed.
*/
export const drawWholeReturn = (
	seed: number,
	name: number,
): Extract<Fault, {readonly kind: 'whole-return'}> => {
	const random = createRandom(seed + name * returnSeedOffset);
	return {
		kind: 'whole-return',
		times: 1 + random.below(maximumReturns),
		how: (['clean', 'early-start', 'ports-in-use'] as const)[random.below(3)]!,
		beside: (['nothing', 'registry-away', 'upgrade', 'crash'] as const)[
			random.below(4)
		]!,
		forMs: minimumDownMs + random.below(downRangeMs),
		startGapMs: random.below(2) * random.below(startGapRangeMs),
	};
};

// One in the course of the test, also drawn by itself.
const planWholeReturn = ({
	seed,
	lengthMs,
}: PlanOptions): readonly PlannedFault[] => {
	const at =
		minimumRareGapMs + createRandom(seed + returnSeedOffset).below(lengthMs);
	return at < lengthMs ? [{at, fault: drawWholeReturn(seed, 1)}] : [];
};

const floodSeedOffset = 4_000_037;
const minimumFloodCallers = 100;
const floodCallersRange = 80;

// One in the course of the test, drawn by itself as well.
const planFlood = ({
	seed,
	nodes,
	lengthMs,
}: PlanOptions): readonly PlannedFault[] => {
	const random = createRandom(seed + floodSeedOffset);
	const at = random.below(lengthMs);
	const callers = minimumFloodCallers + random.below(floodCallersRange);
	return [{at, fault: {kind: 'flood', node: random.below(nodes - 1), callers}}];
};

const drawFault = (random: Random, {nodes, servers}: PlanOptions): Fault => {
	const forMs =
		minimumDurationMs + random.below(maximumDurationMs - minimumDurationMs);
	const draw = random.below(15);
	switch (draw) {
		case 0: {
			return {kind: 'registry-away', forMs};
		}

		case 1: {
			return {
				kind: 'registry-restored',
				forMs,
				writes: 1 + random.below(maximumLostWrites),
			};
		}

		case 2: {
			return {kind: 'routes', forMs};
		}

		case 3: {
			return {kind: 'brittle', forMs};
		}

		case 4: {
			return {kind: 'fatal-part', forMs};
		}

		case 5: {
			return {
				kind: 'silence',
				servers: silentServers(servers)[random.below(3)]!,
				forMs: minimumSilenceMs + random.below(silenceRangeMs),
			};
		}

		default: {
			return drawNodeOrServerFault(random, {nodes, servers}, forMs);
		}
	}
};

// One server, six in ten, or all.
const silentServers = (servers: number): readonly number[] => [
	1,
	Math.ceil(0.6 * servers),
	servers,
];

const drawNodeOrServerFault = (
	random: Random,
	{nodes, servers}: Pick<PlanOptions, 'nodes' | 'servers'>,
	forMs: number,
): Fault =>
	// The last node and the last server get no faults, so that some requests can always be served.
	random.below(9) < 3
		? {
				kind: nodeFaults[random.below(nodeFaults.length)]!,
				node: random.below(nodes - 1),
				forMs,
			}
		: {
				kind: serverFaults[random.below(serverFaults.length)]!,
				server: random.below(servers - 1),
				forMs,
			};
