import {test, type TestContext} from 'node:test';
import {
	callerPatienceMs,
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

test('new requests go to the other servers while one is silent', (t: TestContext) => {
	const fleet = setUp(['a', 'b']);
	silence(fleet, ['a']);
	const choice = fleet.choose(placement, beliefMs);
	t.assert.strictEqual(choice.kind === 'server' && choice.id, 'b');
});

test('new requests wait where all servers are silent, and find no server where none can be connected to', (t: TestContext) => {
	const fleet = setUp(['a', 'b']);
	silence(fleet, ['a', 'b']);
	t.assert.deepStrictEqual(fleet.choose(placement, beliefMs), {
		kind: 'full',
		isSilent: true,
	});
	t.assert.ok(fleet.isAwaitingSilentServers('engine', beliefMs));
	for (const id of ['a', 'b']) {
		fleet.recordConnectFailure(id, beliefMs);
	}

	t.assert.strictEqual(fleet.choose(placement, beliefMs).kind, 'none');
	t.assert.ok(!fleet.isAwaitingSilentServers('engine', beliefMs));
});

test('any byte of a silent server ends the silence and is reported once, but proves nothing about new connections', (t: TestContext) => {
	const fleet = setUp(['a']);
	const [attempt] = silence(fleet, ['a']);
	attempt!.recordActivity(beliefMs + 100);
	t.assert.strictEqual(fleet.suspicionOf('a'), undefined);
	t.assert.deepStrictEqual(fleet.tick(beliefMs + 150), [
		{kind: 'resumed', id: 'a', silentMs: beliefMs + 100, inFlight: 1},
	]);
	t.assert.deepStrictEqual(fleet.tick(beliefMs + 200), []);
	fleet.recordConnectFailure('a', beliefMs + 300);
	attempt!.recordActivity(beliefMs + 400);
	t.assert.strictEqual(fleet.suspicionOf('a'), 'unreachable');
});

test('a silence within the patience of callers is expected to end, a longer one only where no other server is left', (t: TestContext) => {
	const some = setUp(['a', 'b']);
	silence(some, ['a']);
	t.assert.ok(some.isAwaitingSilentServers('engine', callerPatienceMs - 1));
	t.assert.ok(!some.isAwaitingSilentServers('engine', callerPatienceMs));
	const all = setUp(['a']);
	silence(all, ['a']);
	t.assert.ok(all.isAwaitingSilentServers('engine', 10 * callerPatienceMs));
	t.assert.ok(!setUp(['a']).isAwaitingSilentServers('engine', 0));
});

test('a silent server keeps the requests in flight that are counted at it', (t: TestContext) => {
	const fleet = setUp(['a']);
	silence(fleet, ['a']);
	t.assert.strictEqual(fleet.leasedServer('a')?.inFlight, 1);
});

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
