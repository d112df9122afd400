// Guards against less urgent requests that fill engines: engines preempt them for more urgent ones and process their prompts again.
import {test, type TestContext} from 'node:test';
import {createBackendFleet} from '../../src/backends/index.ts';
import {pressureIntervalMs} from '../../src/demand/index.ts';
import {fleetOptionsOf, knownServerOf, serviceOf} from '../gateway/fixtures.ts';

const slots = 16;
const levels = [0, 1, 2];

const fleetWith = (urgencyLevels: readonly number[] | undefined) => {
	const fleet = createBackendFleet({
		...fleetOptionsOf(),
		nodesServing: () => 24,
		service: () => serviceOf({engine: {slots, memoryTokens: 1_000_000}}),
		urgencyLevels: () => urgencyLevels,
	});
	fleet.sync(new Map([['s', knownServerOf('s', slots)]]), 0);
	return fleet;
};

const placementOf = (priority: number) => ({
	service: 'engine',
	promptTokens: 100,
	targetMs: 500,
	priority,
	excluded: new Set<string>(),
});

// Returns how many requests of a priority all nodes together place before the server counts as full.
const filledBy = (priority: number, others: number): number => {
	const fleet = fleetWith(levels);
	fleet.recordPeerRequests('engine', new Map([['s', others]]), 0);
	let placed = 0;
	while (fleet.choose(placementOf(priority), 0).kind === 'server') {
		fleet.begin('s', placementOf(priority), 0);
		placed += 1;
	}

	return others + placed;
};

test('less urgent requests leave slots for more urgent ones, which may wait at the server', (t: TestContext) => {
	const filled = levels.map((priority) => filledBy(priority, 4));
	t.assert.ok(filled[0]! > slots);
	t.assert.ok(filled[1]! <= slots);
	t.assert.ok(filled[2]! < filled[1]!);
});

test('a server that other nodes have filled takes nothing, although this node has no request there', (t: TestContext) => {
	const fleet = fleetWith(levels);
	fleet.recordPeerRequests('engine', new Map([['s', slots * 1.5]]), 0);
	t.assert.strictEqual(fleet.choose(placementOf(0), 0).kind, 'full');
});

test('an idle server takes more of one node than an equal share', (t: TestContext) => {
	t.assert.ok(filledBy(0, 0) > 10);
});

test('an urgent request that finds no capacity takes some from less urgent ones, a second call of one does not', (t: TestContext) => {
	const lowestAfter = (isSecondCall: boolean) => {
		const fleet = fleetWith(levels);
		const choose = (priority: number, now: number, isSecond = false) =>
			fleet.choose({...placementOf(priority), isSecondCall: isSecond}, now);
		choose(2, 0);
		fleet.recordPeerRequests('engine', new Map([['s', slots * 1.5]]), 1);
		t.assert.strictEqual(choose(0, 1, isSecondCall).kind, 'full');
		fleet.recordPeerRequests('engine', new Map([['s', 0]]), pressureIntervalMs);
		choose(2, pressureIntervalMs);
		return fleet.lowestUrgencyFactor();
	};

	t.assert.ok(lowestAfter(false) < 1);
	t.assert.strictEqual(lowestAfter(true), 1);
});
