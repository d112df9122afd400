import {test, type TestContext} from 'node:test';
import {createCrashLedger} from '../../src/quarantine/index.ts';
import {simulateCrashes, type CrashScenario} from './crash-model.ts';

// What is borne later than five seconds after the third crash of a request, over all nodes.
const borneSends = 3;

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

test('a request that crashes servers is found out, and none that shared them is refused', (t: TestContext) => {
	for (const seed of seeds) {
		const {lateSends, refused} = simulateCrashes({...plan, seed});
		t.assert.ok(lateSends <= borneSends, `seed ${seed}: ${lateSends} late`);
		t.assert.strictEqual(refused, 0, `seed ${seed}`);
	}
});

test('a loss of power refuses nobody', (t: TestContext) => {
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

test('the model itself: with nothing remembered servers crash on and on', (t: TestContext) => {
	const {lateSends} = simulateCrashes({
		...plan,
		seed: 1,
		createRule: () => ({
			addCrash: () => undefined,
			served: () => false,
			evaluate: () => [],
			status: () => ({kind: 'clear'}),
		}),
	});
	t.assert.ok(lateSends > borneSends);
});
