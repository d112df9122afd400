// Ways to send to servers that fail when they have to refuse too many requests: by equal shares, by slots dealt out in an order, by
// windows that follow refusals, and by leases that one node for each server issues.
import {
	playRefusingServers,
	type ModelFault,
} from '../tests/slot-leases/refusing-servers-model.ts';
import {
	createDealtSlots,
	createEqualShares,
	createLeasedSlots,
	createToldWindows,
	type CreateRule,
} from '../tests/slot-leases/sending-rules.ts';
import {printTable, type Row} from './table.ts';

const ways: Readonly<Record<string, CreateRule>> = {
	'equal shares': createEqualShares,
	'dealt slots': createDealtSlots,
	'told windows': createToldWindows,
	'leased slots': createLeasedSlots,
};

const sizes = [
	{nodes: 3, servers: 2},
	{nodes: 9, servers: 4},
	{nodes: 74, servers: 12},
	{nodes: 195, servers: 32},
] as const;

const plan = {
	seed: 1,
	slots: 6,
	room: 1,
	serviceMs: 50,
	maximumRefusals: 3,
	spanMs: 6000,
};

/**
Plays each way for few and many nodes and prints failures, refusals and the part of the capacity that was used.
*/
export const measureRefusingServers = (): readonly Row[] => {
	const rows = sizes.flatMap(({nodes, servers}) => {
		const count = Math.ceil(servers / 3);
		const gone: ModelFault[] = [{kind: 'servers-gone', at: 3000, count}];
		return Object.entries(ways).flatMap(([way, createRule]) =>
			[
				{load: 0.7, faults: []},
				{load: 1, faults: []},
				{load: 1.5, faults: []},
				{load: 1, faults: gone},
			].map(({load, faults}) => {
				const result = playRefusingServers({
					...plan,
					nodes,
					servers,
					load,
					faults,
					createRule: createRule(plan),
				});
				return {
					nodes,
					servers,
					way,
					load,
					'a third leaves': String(faults.length > 0),
					failures: result.failures,
					refusals: result.refusals,
					'most in 1 s': result.mostRefusals,
					'served part': result.servedFraction,
					'messages a node and second':
						result.messages / nodes / (plan.spanMs / 1000),
					'busiest node': result.busiestMessages,
				};
			}),
		);
	});
	printTable(rows);
	return rows;
};
