import {test, type TestContext} from 'node:test';
import {createCrashLedger} from '../../src/quarantine/index.ts';
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

test('the model itself: without a ledger, servers keep crashing', (t: TestContext) => {
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
	t.assert.ok(lateSends > maximumLateSends);
});
