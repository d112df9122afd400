/**
What goes wrong in a soak, derived from a seed.
*/
import {createRandom, type Random} from '../src/shared/index.ts';

/**
One fault and its target.
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
				| 'crash';
			/**
			Index of the backend server.
			*/
			readonly server: number;
			readonly forMs: number;
	  }
	| {readonly kind: 'registry-away'; readonly forMs: number}
	| {
			readonly kind: 'registry-restored';
			readonly forMs: number;
			/**
			Writes that the copy lacks.
			*/
			readonly writes: number;
	  }
	| {readonly kind: 'routes'; readonly forMs: number};

/**
A fault and the time of its beginning, in milliseconds from the start of the load.
*/
export type PlannedFault = {readonly at: number; readonly fault: Fault};

/**
What a plan is derived from.
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
] as const;

const mostWritesLost = 8;
const shortestMs = 500;
const longestMs = 4000;
const shortestGapMs = 50;
const longestGapMs = 900;

/**
Plans faults that overlap, until some time before the end.
*/
export const planFaults = (options: PlanOptions): readonly PlannedFault[] => {
	const random = createRandom(options.seed);
	const plan: PlannedFault[] = [];
	let at = 500;
	while (at < options.lengthMs) {
		plan.push({at, fault: drawFault(random, options)});
		at += shortestGapMs + random.below(longestGapMs);
	}

	return plan;
};

const drawFault = (random: Random, {nodes, servers}: PlanOptions): Fault => {
	const forMs = shortestMs + random.below(longestMs - shortestMs);
	const draw = random.below(13);
	switch (draw) {
		case 0: {
			return {kind: 'registry-away', forMs};
		}

		case 1: {
			return {
				kind: 'registry-restored',
				forMs,
				writes: 1 + random.below(mostWritesLost),
			};
		}

		case 2:
		case 3: {
			return {kind: 'routes', forMs};
		}

		default: {
			return drawPartFault(random, {nodes, servers}, forMs);
		}
	}
};

const drawPartFault = (
	random: Random,
	{nodes, servers}: Pick<PlanOptions, 'nodes' | 'servers'>,
	forMs: number,
): Fault =>
	// The last node and the last server stay sound: what remains can be told from what is lost.
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
