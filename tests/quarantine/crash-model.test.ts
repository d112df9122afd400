import {test, type TestContext} from 'node:test';
import {
	createCrashLedger,
	createPartLedger,
} from '../../src/quarantine/index.ts';
import {simulateCrashes, type CrashScenario} from './crash-model.ts';

// Maximum number of sends later than five seconds after the third crash of a request, over all nodes.
const maximumLateSends = 3;

const plan: Omit<CrashScenario, 'seed'> = {
	createRule: () => createCrashLedger(),
	nodes: 4,
	servers: 4,
	perSecond: 100,
	longestRunMs: 800,
	fatal: 1,
	fatalEveryMs: 500,
	maximumAttempts: 2,
	isolatedFrom: 1,
	maximumIsolationWaitMs: 1000,
	spanMs: 10_000,
};

const seeds = [1, 2, 3, 4, 5, 6, 7, 8];

test('a request that crashes servers is put in quarantine, and no request that shared them is refused', (t: TestContext) => {
	for (const seed of seeds) {
		const {lateSends, refused} = simulateCrashes({...plan, seed});
		t.assert.ok(
			lateSends <= maximumLateSends,
			`seed ${seed}: ${lateSends} late`,
		);
		t.assert.strictEqual(refused, 0, `seed ${seed}`);
	}
});

test('a power loss causes no refusals', (t: TestContext) => {
	for (const seed of seeds) {
		const {refused, crashes} = simulateCrashes({
			...plan,
			seed,
			fatal: 0,
			servers: 9,
			powerLossAt: 3000,
			spanMs: 6000,
		});
		t.assert.deepStrictEqual([refused, crashes], [0, 3], `seed ${seed}`);
	}
});

const partPlan: CrashScenario = {
	...plan,
	seed: 1,
	nodes: 9,
	servers: 8,
	fatal: 0,
	spanMs: 14_000,
	parts: {
		createRule: createPartLedger,
		fatal: 1,
		fatalEveryMs: 200,
		topics: 200,
		sharesServed: true,
	},
};

// Requests that may be refused in error, of some 1,400: one in a hundred.
const maximumRefused = 14;

const partLoads: Readonly<Record<string, Partial<CrashScenario>>> = {
	'one part': {},
	'one part that is in a third of the prompts': {
		parts: {...partPlan.parts!, fatalEveryMs: 20},
	},
	'one part that always comes with the same sound one': {
		parts: {...partPlan.parts!, companionFraction: 0.1},
	},
	'one rare part before four servers': {
		nodes: 4,
		servers: 4,
		perSecond: 60,
		parts: {...partPlan.parts!, fatalEveryMs: 1500},
	},
	'two parts at once': {
		parts: {...partPlan.parts!, fatal: 2, fatalEveryMs: 250},
	},
};

for (const [name, load] of Object.entries(partLoads)) {
	test(`${name} in prompts that are all different: no late sends, and next to no sound request is refused`, (t: TestContext) => {
		for (const seed of [1, 2, 3, 4]) {
			const {lateSends, refused} = simulateCrashes({
				...partPlan,
				...load,
				seed,
			});
			t.assert.ok(
				lateSends <= maximumLateSends,
				`seed ${seed}: ${lateSends} late`,
			);
			t.assert.ok(
				refused <= maximumRefused,
				`seed ${seed}: ${refused} refused`,
			);
		}
	});
}

test('a power loss puts no part of prompts in quarantine', (t: TestContext) => {
	for (const seed of seeds) {
		const {refused} = simulateCrashes({
			...partPlan,
			seed,
			servers: 9,
			powerLossAt: 3000,
			spanMs: 6000,
			parts: {...partPlan.parts!, fatal: 0},
		});
		t.assert.strictEqual(refused, 0, `seed ${seed}`);
	}
});

test('the model itself: without a ledger, servers keep crashing', (t: TestContext) => {
	const {lateSends} = simulateCrashes({
		...plan,
		seed: 1,
		createRule: () => ({
			addCrash: () => undefined,
			served: () => false,
			evaluate: () => [],
			mergeEntry: () => false,
			status: () => ({kind: 'clear'}),
		}),
	});
	t.assert.ok(lateSends > maximumLateSends);
});
