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

const stateWith = (
	inFlight: number,
	stated?: {readonly others: number; readonly at: number},
) => ({
	...createServerState(knownServerOf('a', 8), 0, 0),
	inFlight,
	statedLoad: stated,
});

test('without a statement the other nodes are taken to hold as many requests', (t: TestContext) => {
	t.assert.strictEqual(estimatedLoad(stateWith(4), 3, 0), 12);
});

test('what a server states of the others counts, and the less the older it is', (t: TestContext) => {
	const state = stateWith(4, {others: 20, at: 0});
	t.assert.strictEqual(estimatedLoad(state, 3, 0), 24);
	t.assert.strictEqual(estimatedLoad(state, 3, statedLoadMaximumAgeMs / 2), 18);
	t.assert.strictEqual(estimatedLoad(state, 3, statedLoadMaximumAgeMs), 12);
	t.assert.strictEqual(estimatedLoad(state, 3, statedLoadMaximumAgeMs * 9), 12);
});

test('a server that others have filled is not chosen, one that they left is', (t: TestContext) => {
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
	// By then nothing is left of what was stated.
	t.assert.strictEqual(
		fleet.choose(placement, statedLoadMaximumAgeMs).kind,
		'server',
	);
});

test('a server whose streams are slow is left for one whose streams are not, until that is long ago', (t: TestContext) => {
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
