// Ways to find the request, or the part of prompts, that crashes the servers which run it, played on the same requests: three crashes are enough;
// three in turn, more than any other request at the last of them has; the same with suspects spread over servers.
import {
	createCrashLedger,
	createPartLedger,
	partReportWindowMs,
} from '../src/quarantine/index.ts';
import {
	simulateCrashes,
	type CrashScenario,
	type CrashResult,
	type CrashRule,
	type PartScenario,
} from '../tests/quarantine/crash-model.ts';
import {printTable, type Row} from './table.ts';

const plays = 10;
const enough = 3;
const playsWithParts = 3;
const countOfParts = 5;
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
		mergeEntry: () => false,
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
	mergeEntry: () => false,
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

// Five crashes put a part in quarantine, if no complete answer has had it since.
const createCountOfFive = (isCleared: boolean) => (): CrashRule => {
	const crashes = new Map<string, Set<string>>();
	return {
		addCrash({incarnationId, runs}) {
			for (const {fingerprint} of runs) {
				const known = crashes.get(fingerprint) ?? new Set();
				crashes.set(fingerprint, known.add(incarnationId));
			}
		},
		served: (fingerprint) => isCleared && crashes.delete(fingerprint),
		evaluate: () => [],
		mergeEntry: () => false,
		status: (fingerprint) =>
			(crashes.get(fingerprint)?.size ?? 0) >= countOfParts
				? {kind: 'quarantined', until: Infinity}
				: {kind: 'clear'},
	};
};

const waysWithParts: Readonly<
	Record<string, Pick<PartScenario, 'createRule' | 'sharesServed'>>
> = {
	'five crashes': {createRule: createCountOfFive(false), sharesServed: false},
	'five since an own answer': {
		createRule: createCountOfFive(true),
		sharesServed: false,
	},
	'five since any answer': {
		createRule: createCountOfFive(true),
		sharesServed: true,
	},
	'most of the blame': {
		createRule: () => createCrashLedger({reportWindowMs: partReportWindowMs}),
		sharesServed: true,
	},
	'specificity, own answers': {
		createRule: createPartLedger,
		sharesServed: false,
	},
	'specificity, any answer': {createRule: createPartLedger, sharesServed: true},
};

type PartLoad = Pick<CrashScenario, 'nodes' | 'servers' | 'perSecond'> &
	Pick<PartScenario, 'fatal' | 'fatalEveryMs' | 'companionFraction'> & {
		readonly powerLossAt?: number;
	};

const loadsWithParts: Readonly<Record<string, PartLoad>> = {
	'one part, 14 servers': {
		nodes: 9,
		servers: 14,
		perSecond: 150,
		fatal: 1,
		fatalEveryMs: 200,
	},
	'one part, 8 servers': {
		nodes: 9,
		servers: 8,
		perSecond: 100,
		fatal: 1,
		fatalEveryMs: 200,
	},
	'two parts, 8 servers': {
		nodes: 9,
		servers: 8,
		perSecond: 100,
		fatal: 2,
		fatalEveryMs: 250,
	},
	'a popular part, 8 servers': {
		nodes: 9,
		servers: 8,
		perSecond: 100,
		fatal: 1,
		fatalEveryMs: 20,
	},
	'a part that comes with a sound one, 8 servers': {
		nodes: 9,
		servers: 8,
		perSecond: 100,
		fatal: 1,
		fatalEveryMs: 200,
		companionFraction: 0.1,
	},
	'a rare part, 4 servers': {
		nodes: 4,
		servers: 4,
		perSecond: 60,
		fatal: 1,
		fatalEveryMs: 1500,
	},
	'one part, 40 servers': {
		nodes: 30,
		servers: 40,
		perSecond: 400,
		fatal: 1,
		fatalEveryMs: 100,
	},
	'power loss of a third of 9': {
		nodes: 9,
		servers: 9,
		perSecond: 200,
		fatal: 0,
		fatalEveryMs: 200,
		powerLossAt: 5000,
	},
};

const playWithParts = (
	{fatal, fatalEveryMs, companionFraction, ...load}: PartLoad,
	way: Pick<PartScenario, 'createRule' | 'sharesServed'>,
	seed: number,
): CrashResult =>
	simulateCrashes({
		...load,
		seed,
		createRule: () => createCrashLedger(),
		longestRunMs: 800,
		fatal: 0,
		fatalEveryMs,
		maximumAttempts: 2,
		isolatedFrom: 1,
		maximumIsolationWaitMs,
		spanMs: 14_000,
		parts: {
			...way,
			fatal,
			fatalEveryMs,
			topics: 200,
			...(companionFraction !== undefined && {companionFraction}),
		},
	});

/**
Plays each way to find a part of prompts on each load.
*/
export const measureParts = (): readonly Row[] =>
	Object.entries(loadsWithParts).flatMap(([load, plan]) =>
		Object.entries(waysWithParts).map(([way, decided]) => ({
			load,
			way,
			...summary(
				Array.from({length: playsWithParts}, (_, index) =>
					playWithParts(plan, decided, index + 1),
				),
			),
		})),
	);

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
	const partRows = measureParts();
	printTable(partRows);
	return [...rows, ...partRows];
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
