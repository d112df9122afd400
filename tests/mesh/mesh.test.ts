import {test, type TestContext} from 'node:test';
import {createLogger} from '../../src/logging/index.ts';
import type {Member} from '../../src/membership/index.ts';
import {
	createMesh,
	leavingAdvertisedMs,
	newcomerMs,
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
	const hear = (change: Partial<Member>) => {
		mesh.mergeMembers([memberOf('b1', 'b', {incarnation: 1, ...change})]);
	};

	return {
		mesh,
		hear,
		pass(milliseconds: number) {
			now += milliseconds;
		},
		isLeavingLately: () =>
			mesh.others().some((member) => mesh.isRecentlyLeaving(member)),
	};
};

test('a node that leaves is still named for a while, and not after a restart', (t: TestContext) => {
	const {hear, pass, isLeavingLately} = setUp();
	pass(newcomerMs);
	hear({});
	t.assert.strictEqual(isLeavingLately(), false);
	hear({status: 'leaving', revision: 1});
	t.assert.strictEqual(isLeavingLately(), true);
	pass(leavingAdvertisedMs - 1);
	t.assert.strictEqual(isLeavingLately(), true);
	pass(1);
	t.assert.strictEqual(isLeavingLately(), false);
	hear({incarnation: 2});
	t.assert.strictEqual(isLeavingLately(), false);
});

test('a node that has just started takes those that leave for gone', (t: TestContext) => {
	const {hear, pass, isLeavingLately} = setUp();
	pass(newcomerMs - 1);
	hear({status: 'leaving', revision: 1});
	t.assert.strictEqual(isLeavingLately(), false);
});

test('a node that leaves itself still names itself for a while', (t: TestContext) => {
	const {mesh, pass} = setUp();
	mesh.leave();
	t.assert.strictEqual(mesh.isRecentlyLeaving(mesh.self()), true);
	pass(leavingAdvertisedMs);
	t.assert.strictEqual(mesh.isRecentlyLeaving(mesh.self()), false);
});
