/**
Ways to order statements of a registry that comes back from older copies, on the same random plays.
*/
import process from 'node:process';
import {createRegistryMirror} from '../src/registry/index.ts';
import {runRestoreModel} from '../tests/registry/restored-registry-model.ts';
import {
	createRevisionOrder,
	createWriterOrder,
} from './model/registry-orders.ts';
import {printTable, type Row} from './table.ts';

const plays = 60;
const lengthMs = 25_000;

const orders = {
	'revision only': createRevisionOrder,
	'numbers of writers, revision as a cursor': createWriterOrder,
	'era and revision': createRegistryMirror,
} as const;

const kinds = {
	'routes went back': /routes went back/v,
	'left, used again': /is used again/v,
	'used in its evacuation': /during its evacuation/v,
	'change late': /written at/v,
	'end differs': /ends with/v,
} as const;

/**
Counts the plays in which each promise broke.
*/
export const measureRegistryOrders = async (): Promise<readonly Row[]> => {
	const {mock} = process.getBuiltinModule('node:test');
	const rows: Row[] = [];
	for (const [order, createMirror] of Object.entries(orders)) {
		for (const hasEras of [true, false]) {
			const counts = new Map<string, number>();
			for (let seed = 1; seed <= plays; seed += 1) {
				const broken = await runRestoreModel(
					{mock},
					{seed, hasEras, lengthMs, createMirror},
				);
				for (const [kind, pattern] of Object.entries(kinds)) {
					const isBroken = broken.some((text) => pattern.test(text));
					counts.set(kind, (counts.get(kind) ?? 0) + Number(isBroken));
				}
			}

			rows.push({
				order,
				eras: hasEras ? 'stated' : 'none',
				plays,
				...Object.fromEntries(counts),
			});
		}
	}

	printTable(rows);
	return rows;
};
