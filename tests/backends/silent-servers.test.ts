import {test, type TestContext} from 'node:test';
import {
	createBackendFleet,
	probeAnswerDeadlineMs,
	silenceThresholdMs,
	type BackendFleet,
	type Placement,
} from '../../src/backends/index.ts';
import {fleetOptionsOf, knownServerOf} from '../gateway/fixtures.ts';

const slots = 4;
const placement: Placement = {
	service: 'engine',
	promptTokens: 0,
	targetMs: 400,
	excluded: new Set(),
};
const beliefMs = silenceThresholdMs + 1 + probeAnswerDeadlineMs;

const setUp = (ids: readonly string[]) => {
	const fleet = createBackendFleet(fleetOptionsOf());
	fleet.sync(new Map(ids.map((id) => [id, knownServerOf(id, slots)])), 0);
	return fleet;
};

// Leaves a request without a response at a server until the server is believed to be silent.
const silence = (fleet: BackendFleet, ids: readonly string[]) => {
	const attempts = ids.map((id) => fleet.begin(id, placement, 0));
	fleet.tick(silenceThresholdMs + 1);
	fleet.tick(beliefMs);
	return attempts;
};

test('a region reports suspect servers as full, so that it attracts no requests of other regions', (t: TestContext) => {
	const fleet = setUp(['a', 'b']);
	silence(fleet, ['a']);
	fleet.recordConnectFailure('b', beliefMs);
	t.assert.deepStrictEqual(fleet.loadOf('engine', beliefMs), {
		load: 2 * slots,
		slots: 2 * slots,
	});
});

test('a region counts silent servers where no other ones are left, so that it does not seem to have none', (t: TestContext) => {
	const fleet = setUp(['a', 'b']);
	silence(fleet, ['a']);
	const idsOf = () => fleet.requestsAt('engine').map(({id}) => id);
	t.assert.deepStrictEqual(idsOf(), ['b']);
	fleet.recordConnectFailure('b', beliefMs);
	t.assert.deepStrictEqual(idsOf(), ['a']);
});
