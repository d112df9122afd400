// Ways to return to a backend server after a rest, played on the same seeds: all nodes at once, spread over half a second, and spread
// with twice as many requests for each round of answers.
import {
	simulateReturn,
	type ReturnStrategy,
} from '../tests/server-statements/slow-start-model.ts';
import {printTable, type Row} from './table.ts';

const seeds = [1, 2, 3, 4, 5];
const ways: readonly ReturnStrategy[] = [
	'at once',
	'spread',
	'spread and doubled',
];

/**
Plays each way for few and many nodes and prints what the server received.
*/
export const measureRests = (): readonly Row[] => {
	const rows = [2, 9, 24, 95].flatMap((nodes) =>
		ways.map((way) => {
			const plays = seeds.map((seed) => simulateReturn(way, nodes, seed));
			return {
				nodes,
				way,
				'most in 50 ms': Math.max(...plays.map(({most}) => most)),
				'slowest first token, ms': Math.max(
					...plays.map(({slowestMs}) => slowestMs),
				),
				'nine tenths used after, ms': Math.max(
					...plays.map(({usedAfterMs}) => usedAfterMs),
				),
			};
		}),
	);
	printTable(rows);
	return rows;
};
