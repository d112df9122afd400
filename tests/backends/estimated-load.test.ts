import {test, type TestContext} from 'node:test';
import {
	estimatedLoad,
	createBackendFleet,
	createServerState,
	statedLoadMaximumAgeMs,
} from '../../src/backends/index.ts';
import {fleetOptionsOf, knownServerOf} from '../gateway/fixtures.ts';

const placement = {
	service: 'engine',
	promptTokens: 0,
	targetMs: 1000,
	excluded: new Set<string>(),
};

const stateOf = (
	inFlight: number,
	stated?: {readonly others: number; readonly at: number},
) => ({
	...createServerState(knownServerOf('a', 8), 0, 0),
	inFlight,
	statedLoad: stated,
});

test('without a statement, each other node is assumed to have as many requests as this one', (t: TestContext) => {
	t.assert.strictEqual(estimatedLoad(stateOf(4), 3, 0), 12);
});

test('the weight of a stated load decreases with its age', (t: TestContext) => {
	const state = stateOf(4, {others: 20, at: 0});
	t.assert.strictEqual(estimatedLoad(state, 3, 0), 24);
	t.assert.strictEqual(estimatedLoad(state, 3, statedLoadMaximumAgeMs / 2), 18);
	t.assert.strictEqual(estimatedLoad(state, 3, statedLoadMaximumAgeMs), 12);
	t.assert.strictEqual(estimatedLoad(state, 3, statedLoadMaximumAgeMs * 9), 12);
});

test('a server that other nodes have filled is not chosen, and one with free capacity is', (t: TestContext) => {
	const fleet = createBackendFleet({
		...fleetOptionsOf(),
		nodesServing: () => 2,
	});
	fleet.sync(new Map(['a', 'b'].map((id) => [id, knownServerOf(id, 4)])), 0);
	const load = (id: string, running: number, waiting: number) => {
		const attempt = fleet.begin(id, placement, 0);
		attempt.recordStatedLoad({running, waiting, slots: 4}, 0);
		attempt.end('answered', 0);
	};

	load('a', 4, 5);
	load('b', 1, 0);
	const choice = fleet.choose(placement, 0);
	t.assert.strictEqual(choice.kind === 'server' && choice.id, 'b');
	load('b', 4, 5);
	t.assert.strictEqual(fleet.choose(placement, 0).kind, 'full');
	// The stated loads have expired by then.
	t.assert.strictEqual(
		fleet.choose(placement, statedLoadMaximumAgeMs).kind,
		'server',
	);
});

test('a server with slow streams is avoided until the measurement expires', (t: TestContext) => {
	const fleet = createBackendFleet(fleetOptionsOf());
	fleet.sync(new Map(['a', 'b'].map((id) => [id, knownServerOf(id, 64)])), 0);
	const slow = fleet.begin('a', placement, 0);
	slow.recordFirstEvent(0);
	for (let index = 0; index < 100; index += 1) {
		slow.recordChunkInterval(400, 0);
	}

	const hold = Array.from({length: 20}, () => {
		const attempt = fleet.begin('b', placement, 0);
		attempt.recordFirstEvent(0);
		return attempt;
	});
	const idAt = (now: number) => {
		const choice = fleet.choose(placement, now);
		return choice.kind === 'server' ? choice.id : choice.kind;
	};

	t.assert.strictEqual(idAt(0), 'b');
	t.assert.strictEqual(idAt(3000), 'a');
	t.assert.strictEqual(hold.length, 20);
});
