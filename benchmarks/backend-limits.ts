// Ways to keep a limit that a backend server states for all nodes together, played on the same requests: not at all, by each node
// alone, by equal parts, and by the first nodes in an order.
import {
	mostIn,
	simulateLimit,
	type LimitPlan,
} from '../tests/backend-limits/limit-model.ts';
import {
	createUncoordinatedRule,
	createEqualRule,
	createNoRule,
	createSharedRule,
} from '../tests/backend-limits/limit-rules.ts';
import {printTable, type Row} from './table.ts';

const seeds = [1, 2, 3, 4, 5];
const namedAt = 2000;
const fromMs = 7000;
const spanMs = 47_000;
const windowMs = 4000;

const ways: Readonly<Record<string, LimitPlan['createRule']>> = {
	'not at all': createNoRule,
	'each node alone': createUncoordinatedRule,
	'equal parts': createEqualRule,
	'first in an order': createSharedRule,
};

const cases = [
	{nodes: 3, perSecond: 6},
	{nodes: 65, perSecond: 1},
	{nodes: 65, perSecond: 6},
	{nodes: 65, perSecond: 40},
	{nodes: 380, perSecond: 6},
] as const;

/**
Plays each way for few and many nodes and prints what the server got.
*/
export const measureBackendLimits = (): readonly Row[] => {
	const rows = cases.flatMap(({nodes, perSecond}) =>
		Object.entries(ways).map(([way, createRule]) => {
			const plays = seeds.map((seed) =>
				simulateLimit({
					seed,
					createRule,
					nodes,
					wantedPerSecond: 5,
					limits: [{from: namedAt, perSecond}],
					spanMs,
				}),
			);
			const used = plays.map(
				(arrivals) => arrivals.filter(({at}) => at >= fromMs).length,
			);
			const seconds = (spanMs - fromMs) / 1000;
			return {
				nodes,
				'limit a second': perSecond,
				way,
				'most in 4 s': Math.max(
					...plays.map((arrivals) => mostIn(arrivals, windowMs, fromMs)),
				),
				'allowed in 4 s': 1.5 * perSecond * (windowMs / 1000) + 5,
				'most in 4 s from the start': Math.max(
					...plays.map((arrivals) =>
						mostIn(arrivals, windowMs, namedAt + 1500),
					),
				),
				'used part of the limit':
					used.reduce((sum, count) => sum + count, 0) /
					(seeds.length * seconds * perSecond),
			};
		}),
	);
	printTable(rows);
	return rows;
};
