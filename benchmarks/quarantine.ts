// Ways to find the request that crashes the servers which run it, played on the same requests: three crashes are enough;
// three in turn, more than any other request at the last of them has; the same with suspects spread over servers.
import {createCrashLedger} from '../src/quarantine/index.ts';
import {
	simulateCrashes,
	type CrashScenario,
	type CrashResult,
	type CrashRule,
} from '../tests/quarantine/crash-model.ts';
import {printTable, type Row} from './table.ts';

const plays = 10;
const enough = 3;
const maximumIsolationWaitMs = 1000;

// Whatever was at three crashes is refused from then on.
const createPlainCount = (): CrashRule => {
	const lives = new Map<string, Set<string>>();
	return {
		addCrash({incarnationId, runs}) {
			for (const {fingerprint} of runs) {
				const known = lives.get(fingerprint) ?? new Set();
				lives.set(fingerprint, known.add(incarnationId));
			}
		},
		served: (fingerprint) => lives.delete(fingerprint),
		evaluate: () => [],
		status(fingerprint) {
			const crashes = lives.get(fingerprint)?.size ?? 0;
			if (crashes >= enough) {
				return {kind: 'quarantined', until: Infinity};
			}

			return crashes === 0 ? {kind: 'clear'} : {kind: 'suspect', crashes};
		},
	};
};

const createNothing = (): CrashRule => ({
	addCrash: () => undefined,
	served: () => false,
	evaluate: () => [],
	status: () => ({kind: 'clear'}),
});

const ways: Readonly<
	Record<string, Pick<CrashScenario, 'createRule' | 'isolatedFrom'>>
> = {
	'nothing remembered': {createRule: createNothing, isolatedFrom: Infinity},
	'any three crashes': {createRule: createPlainCount, isolatedFrom: Infinity},
	'three in turn and most of the blame': {
		createRule: () => createCrashLedger(),
		isolatedFrom: Infinity,
	},
	'the same, isolated from two on': {
		createRule: () => createCrashLedger(),
		isolatedFrom: 2,
	},
	'the same, isolated from one on': {
		createRule: () => createCrashLedger(),
		isolatedFrom: 1,
	},
};

const loads: Readonly<
	Record<
		string,
		Omit<
			CrashScenario,
			'createRule' | 'isolatedFrom' | 'maximumIsolationWaitMs' | 'seed'
		>
	>
> = {
	'one request, 4 servers': {
		nodes: 4,
		servers: 4,
		perSecond: 100,
		longestRunMs: 800,
		fatal: 1,
		fatalEveryMs: 500,
		maximumAttempts: 2,
		spanMs: 15_000,
	},
	'three requests, 8 servers': {
		nodes: 9,
		servers: 8,
		perSecond: 200,
		longestRunMs: 800,
		fatal: 3,
		fatalEveryMs: 500,
		maximumAttempts: 3,
		spanMs: 15_000,
	},
	'power loss of a third of 9': {
		nodes: 9,
		servers: 9,
		perSecond: 200,
		longestRunMs: 800,
		fatal: 0,
		fatalEveryMs: 500,
		maximumAttempts: 3,
		powerLossAt: 5000,
		spanMs: 10_000,
	},
};

/**
Plays each way on each load and prints what servers and callers bore.
*/
export const measureQuarantine = (): readonly Row[] => {
	const rows = Object.entries(loads).flatMap(([load, plan]) =>
		Object.entries(ways).map(([way, decided]) => ({
			load,
			way,
			...summary(
				Array.from({length: plays}, (_, index) =>
					simulateCrashes({
						...plan,
						...decided,
						maximumIsolationWaitMs,
						seed: index + 1,
					}),
				),
			),
		})),
	);
	printTable(rows);
	return rows;
};

const summary = (results: readonly CrashResult[]): Row => {
	const sum = (read: (result: CrashResult) => number) =>
		results.reduce((total, result) => total + read(result), 0);
	return {
		crashes: sum(({crashes}) => crashes) / results.length,
		'late sends, worst': Math.max(...results.map(({lateSends}) => lateSends)),
		others: sum(({others}) => others),
		refused: sum(({refused}) => refused),
		lost: sum(({lost}) => lost),
	};
};
