import {test, type TestContext} from 'node:test';
import {createLogger} from '../../src/logging/index.ts';
import type {Member} from '../../src/membership/index.ts';
import {
	createMesh,
	leavingAdvertisedMs,
	leavingUnknownMs,
} from '../../src/mesh/index.ts';
import {memberOf} from '../fixtures.ts';

const setUp = () => {
	let now = 0;
	const mesh = createMesh({
		id: 'a1',
		availabilityZone: 'a',
		peerAddress: '127.0.0.1:1',
		callerAddress: '127.0.0.1:2',
		regionOf: (zone) => zone,
		registryStamp: () => ({
			era: 0,
			revision: 0,
			routesVersion: 0,
			isAheadOfRegistry: false,
		}),
		onRegistryStamp: () => undefined,
		onMessage: () => undefined,
		clock: () => now,
		wallClock: () => 1000,
		logger: createLogger('test', {}),
	});
	const receive = (change: Partial<Member>) => {
		mesh.mergeMembers([memberOf('b1', 'b', {incarnation: 1, ...change})]);
	};

	return {
		mesh,
		receive,
		advance(milliseconds: number) {
			now += milliseconds;
		},
		isRecentlyLeaving: () =>
			mesh.others().some((member) => mesh.isRecentlyLeaving(member)),
	};
};

test('a leaving node stays recently leaving for a limited time, and not after a restart', (t: TestContext) => {
	const {receive, advance, isRecentlyLeaving} = setUp();
	advance(leavingUnknownMs);
	receive({});
	t.assert.strictEqual(isRecentlyLeaving(), false);
	receive({status: 'leaving', revision: 1});
	t.assert.strictEqual(isRecentlyLeaving(), true);
	advance(leavingAdvertisedMs - 1);
	t.assert.strictEqual(isRecentlyLeaving(), true);
	advance(1);
	t.assert.strictEqual(isRecentlyLeaving(), false);
	receive({incarnation: 2});
	t.assert.strictEqual(isRecentlyLeaving(), false);
});

test('a node that has just started treats leaving members as gone', (t: TestContext) => {
	const {receive, advance, isRecentlyLeaving} = setUp();
	advance(leavingUnknownMs - 1);
	receive({status: 'leaving', revision: 1});
	t.assert.strictEqual(isRecentlyLeaving(), false);
});

test('a node that is leaving stays recently leaving in its own view for a limited time', (t: TestContext) => {
	const {mesh, advance} = setUp();
	mesh.leave();
	t.assert.strictEqual(mesh.isRecentlyLeaving(mesh.self()), true);
	advance(leavingAdvertisedMs);
	t.assert.strictEqual(mesh.isRecentlyLeaving(mesh.self()), false);
});

// Guards against services that are called like a property of all objects and so seem to have a load.
test('a service without a reported load has none, whatever its name', (t: TestContext) => {
	const {mesh} = setUp();
	mesh.publishLoad({}, 0);
	for (const service of ['engine', 'constructor', 'toString']) {
		t.assert.strictEqual(mesh.loadIn('a', service, 0), undefined);
	}
});
