// Ways to keep the bodies of requests within the memory of a node.
import {
	memoryLoads,
	memoryWays,
	playRequestMemory,
} from './model/request-memory-model.ts';
import {printTable, type Row} from './table.ts';

/**
Plays each way under each load, and prints what callers and the node saw.
*/
export const measureRequestMemory = (): readonly Row[] => {
	const rows = memoryLoads.flatMap((load) =>
		memoryWays.map((way) => {
			const result = playRequestMemory(way, load);
			return {
				load,
				way,
				'peak MB': Math.round(result.peakMb),
				'small served': result.smallServedFraction,
				'small read ms': Math.round(result.smallReadMs),
				'long served': result.longServedFraction,
				refusals: result.refusals,
				'read in vain MB': Math.round(result.wastedMb),
			};
		}),
	);
	printTable(rows);
	return rows;
};
