import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createRegistryMirror,
	heldBackMs,
	evacuationRetentionMs,
	lapseGraceMs,
	rewriteGraceMs,
	type RegistryItem,
	type RegistryMirror,
} from '../../src/registry/index.ts';
import {accountOf, documentOf} from '../gateway/fixtures.ts';
import {serverItemOf} from './fixtures.ts';

const zone = 'zone-a';

const routesItem = (revision: number, version: number): RegistryItem => ({
	key: 'routes',
	revision,
	value: {kind: 'routes', document: documentOf({version})},
});

const evacuationItem = (revision: number): RegistryItem => ({
	key: `evacuate ${zone}`,
	revision,
	value: {kind: 'evacuation', availabilityZone: zone},
});

const removalOf = ({key}: RegistryItem, revision: number): RegistryItem => ({
	key,
	revision,
	value: undefined,
});

const take = (
	mirror: RegistryMirror,
	kind: 'changes' | 'snapshot',
	[era, revision]: readonly [number, number],
	items: readonly RegistryItem[],
	now = 0,
) => mirror.apply({kind, era, revision, items}, now, 'registry');

// A mirror that has read these changes in the first era.
const nodeWith = (...items: readonly RegistryItem[]): RegistryMirror => {
	const mirror = createRegistryMirror();
	take(mirror, 'snapshot', [1, 1], []);
	take(mirror, 'changes', [1, 100], items);
	return mirror;
};

const isUsed = (mirror: RegistryMirror, id: string): boolean =>
	mirror.servers().get(id)?.server.isLeaving === false;

const versionOf = (mirror: RegistryMirror) => mirror.routes()?.document.version;

test('routes do not go back when the registry is restored, and later ones apply at reused revisions', () => {
	const mirror = nodeWith(routesItem(50, 7));
	take(mirror, 'snapshot', [2, 20], [routesItem(10, 3)]);
	assert.equal(versionOf(mirror), 7);
	take(mirror, 'changes', [2, 21], [routesItem(21, 8)]);
	assert.equal(versionOf(mirror), 8);
});

test('routes that the registry lost stay in force and are sent to other nodes', () => {
	const mirror = nodeWith(routesItem(50, 7));
	take(mirror, 'snapshot', [2, 0], []);
	assert.equal(versionOf(mirror), 7);
	const newcomer = createRegistryMirror();
	newcomer.apply({kind: 'snapshot', ...mirror.snapshot(0)}, 0, 'peer');
	assert.equal(versionOf(newcomer), 7);
});

test('after a restore, routes count as incomplete for a limited time or until they are written again', () => {
	const mirror = nodeWith(routesItem(50, 7));
	assert.ok(!mirror.mayLackRoutes(0));
	take(mirror, 'snapshot', [2, 20], [routesItem(10, 3)], 1000);
	assert.ok(mirror.mayLackRoutes(1000 + rewriteGraceMs - 1));
	assert.ok(!mirror.mayLackRoutes(1000 + rewriteGraceMs));
	take(mirror, 'changes', [2, 21], [routesItem(21, 7)], 1100);
	assert.ok(!mirror.mayLackRoutes(1100));
});

for (const startedAt of [undefined, 5]) {
	const entry = startedAt === undefined ? {} : {startedAt};
	const name = startedAt === undefined ? 'without a start' : 'with a start';

	test(`a server ${name} that is leaving stays that way although the copy says that it is ready`, () => {
		const mirror = nodeWith(serverItemOf('s', 50, {...entry, isLeaving: true}));
		take(mirror, 'snapshot', [2, 20], [serverItemOf('s', 10, entry)]);
		assert.ok(!isUsed(mirror, 's'));
		const newcomer = createRegistryMirror();
		newcomer.apply({kind: 'snapshot', ...mirror.snapshot(0)}, 0, 'peer');
		assert.ok(!isUsed(newcomer, 's'));
	});

	test(`a server ${name} that has left is not used although the copy says that it is ready`, () => {
		const item = serverItemOf('s', 50, {...entry, isLeaving: true});
		const mirror = nodeWith(item, removalOf(item, 60));
		take(mirror, 'snapshot', [2, 20], [serverItemOf('s', 10, entry)]);
		assert.ok(!isUsed(mirror, 's'));
		mirror.expire(heldBackMs * 100);
		assert.ok(!isUsed(mirror, 's'));
	});
}

test('a later incarnation of a server that the copy lacks is not replaced by the earlier one', () => {
	const mirror = nodeWith(serverItemOf('s', 50, {startedAt: 9}));
	take(mirror, 'snapshot', [2, 20], [serverItemOf('s', 10, {startedAt: 5})]);
	assert.equal(mirror.servers().get('s')?.server.startedAt, 9);
	take(mirror, 'changes', [2, 21], [serverItemOf('s', 21, {startedAt: 9})]);
	mirror.expire(lapseGraceMs);
	assert.ok(isUsed(mirror, 's'));
});

test('a server that the copy lacks is used for the grace period, and beyond it if it is written again', () => {
	const mirror = nodeWith(serverItemOf('a', 50), serverItemOf('b', 51));
	take(mirror, 'snapshot', [2, 20], []);
	assert.ok(isUsed(mirror, 'a'));
	take(mirror, 'changes', [2, 21], [serverItemOf('b', 21)]);
	mirror.expire(lapseGraceMs - 1);
	assert.ok(isUsed(mirror, 'a'));
	mirror.expire(lapseGraceMs);
	assert.ok(!isUsed(mirror, 'a'));
	assert.ok(isUsed(mirror, 'b'));
});

test('a removed server that the copy brings back is held back until it is written again or the hold-back time is over', () => {
	const items = [serverItemOf('a', 50), serverItemOf('b', 51)];
	const mirror = nodeWith(
		...items,
		...items.map((item) => removalOf(item, 60)),
	);
	take(
		mirror,
		'snapshot',
		[2, 20],
		items.map((item) => ({...item, revision: 9})),
	);
	assert.ok(!isUsed(mirror, 'a'));
	take(mirror, 'changes', [2, 21], [serverItemOf('b', 21)]);
	assert.ok(isUsed(mirror, 'b'));
	mirror.expire(heldBackMs - 1);
	assert.ok(!isUsed(mirror, 'a'));
	mirror.expire(heldBackMs);
	assert.ok(isUsed(mirror, 'a'));
});

test('a removed server that the copy brings back and whose entry is removed is never used', () => {
	const item = serverItemOf('a', 50);
	const mirror = nodeWith(item, removalOf(item, 60));
	take(mirror, 'snapshot', [2, 20], [serverItemOf('a', 9)]);
	take(mirror, 'changes', [2, 21], [removalOf(item, 21)]);
	mirror.expire(heldBackMs);
	assert.ok(!isUsed(mirror, 'a'));
});

test('an evacuation that the copy lacks is retained for a limited time, and beyond it if it is written again', () => {
	for (const isWritten of [false, true]) {
		const mirror = nodeWith(evacuationItem(50));
		take(mirror, 'snapshot', [2, 20], []);
		assert.ok(mirror.isEvacuated(zone));
		if (isWritten) {
			take(mirror, 'changes', [2, 21], [evacuationItem(21)]);
		}

		mirror.expire(evacuationRetentionMs - 1);
		assert.ok(mirror.isEvacuated(zone));
		mirror.expire(evacuationRetentionMs);
		assert.equal(mirror.isEvacuated(zone), isWritten);
	}
});

test('an evacuation that the copy lacks ends when the operator removes it', () => {
	const mirror = nodeWith(evacuationItem(50));
	take(mirror, 'snapshot', [2, 20], []);
	take(mirror, 'changes', [2, 21], [removalOf(evacuationItem(0), 21)]);
	assert.ok(!mirror.isEvacuated(zone));
});

test('an evacuation that the copy brings back is in force until it is removed again', () => {
	const item = evacuationItem(50);
	const mirror = nodeWith(item, removalOf(item, 60));
	take(mirror, 'snapshot', [2, 20], [evacuationItem(10)]);
	assert.ok(mirror.isEvacuated(zone));
	mirror.expire(evacuationRetentionMs);
	assert.ok(mirror.isEvacuated(zone));
	take(mirror, 'changes', [2, 21], [removalOf(item, 21)]);
	assert.ok(!mirror.isEvacuated(zone));
});

test('a second restore undoes no routes, shutdown or evacuation', () => {
	const mirror = nodeWith(
		routesItem(50, 7),
		serverItemOf('s', 51, {isLeaving: true}),
		evacuationItem(52),
	);
	take(mirror, 'snapshot', [2, 20], [routesItem(10, 3), serverItemOf('s', 11)]);
	take(mirror, 'snapshot', [3, 12], [routesItem(10, 3), serverItemOf('s', 11)]);
	assert.equal(versionOf(mirror), 7);
	assert.ok(!isUsed(mirror, 's'));
	assert.ok(mirror.isEvacuated(zone));
	take(mirror, 'changes', [3, 13], [routesItem(13, 8)]);
	assert.equal(versionOf(mirror), 8);
});

// Nodes running a version without eras state none.
for (const era of [1, undefined]) {
	test(`only later routes and shutdowns apply from a node with ${era === undefined ? 'no' : 'an earlier'} era`, () => {
		const mirror = nodeWith(serverItemOf('s', 50), routesItem(51, 7));
		take(
			mirror,
			'snapshot',
			[2, 20],
			[serverItemOf('s', 10), routesItem(11, 3)],
		);
		for (const kind of ['changes', 'snapshot'] as const) {
			mirror.apply(
				{
					kind,
					...(era !== undefined && {era}),
					revision: 90,
					items: [
						serverItemOf('s', 80, {isLeaving: true}),
						serverItemOf('other', 81),
						evacuationItem(82),
						routesItem(83, 9),
					],
				},
				0,
				'peer',
			);
		}

		assert.deepEqual(mirror.position(), {era: 2, revision: 20});
		assert.equal(versionOf(mirror), 9);
		assert.ok(!isUsed(mirror, 's'));
		assert.ok(!mirror.servers().has('other'));
		assert.ok(!mirror.isEvacuated(zone));
		take(mirror, 'changes', [2, 21], [serverItemOf('s', 21)]);
		assert.ok(isUsed(mirror, 's'));
	});
}

test('a node that started after the restore learns the state that another node retains', () => {
	const removed = serverItemOf('removed', 53);
	const mirror = nodeWith(
		routesItem(50, 7),
		serverItemOf('leaving', 51, {isLeaving: true}),
		evacuationItem(52),
		removed,
		removalOf(removed, 60),
	);
	const copy = [
		routesItem(10, 3),
		serverItemOf('leaving', 11),
		serverItemOf('removed', 12),
	];
	take(mirror, 'snapshot', [2, 20], copy);
	assert.ok(mirror.stamp().isAheadOfRegistry);
	const newcomer = createRegistryMirror();
	take(newcomer, 'snapshot', [2, 20], copy);
	assert.ok(isUsed(newcomer, 'leaving') && isUsed(newcomer, 'removed'));
	newcomer.apply({kind: 'snapshot', ...mirror.snapshot(100)}, 100, 'peer');
	assert.equal(versionOf(newcomer), 7);
	assert.ok(!isUsed(newcomer, 'leaving'));
	assert.ok(!isUsed(newcomer, 'removed'));
	assert.ok(newcomer.isEvacuated(zone));
	newcomer.expire(heldBackMs);
	assert.ok(isUsed(newcomer, 'removed'));
	newcomer.expire(evacuationRetentionMs);
	assert.ok(!newcomer.isEvacuated(zone));
});

test('a node that missed the restore receives a snapshot from one that did not', () => {
	const mirror = nodeWith(routesItem(50, 7));
	take(mirror, 'snapshot', [2, 20], [routesItem(10, 3)]);
	take(mirror, 'changes', [2, 21], [serverItemOf('s', 21)]);
	assert.equal(mirror.answerFor({era: 1, revision: 100}, 0).kind, 'snapshot');
	assert.equal(mirror.answerFor({era: 2, revision: 20}, 0).kind, 'changes');
});

test('an evacuation that ended after the restore stays ended although another node still retains it', () => {
	const retaining = nodeWith(evacuationItem(50));
	take(retaining, 'snapshot', [2, 30], []);
	const mirror = createRegistryMirror();
	take(mirror, 'snapshot', [2, 20], [evacuationItem(15)]);
	mirror.apply({kind: 'snapshot', ...retaining.snapshot(0)}, 0, 'peer');
	assert.ok(!mirror.isEvacuated(zone));
});

test('a server that another node holds back is held back after a second restore as well', () => {
	const copy = [serverItemOf('s', 10)];
	const mirror = createRegistryMirror();
	take(mirror, 'snapshot', [2, 20], copy);
	mirror.apply(
		{
			kind: 'snapshot',
			era: 2,
			revision: 20,
			items: [{...copy[0]!, provisionalMs: 4000}],
		},
		0,
		'peer',
	);
	assert.ok(!isUsed(mirror, 's'));
	take(mirror, 'snapshot', [3, 20], copy);
	mirror.expire(heldBackMs - 1);
	assert.ok(!isUsed(mirror, 's'));
	mirror.expire(heldBackMs);
	assert.ok(isUsed(mirror, 's'));
});

test('revoked keys and higher limits do not come back with the copy', () => {
	const limitOf = (perSecond: number) =>
		({unit: 'requests', perSecond, burst: 0, plainTokens: 0}) as const;
	const documentWith = (version: number, perSecond: number, key: string) =>
		documentOf({
			version,
			clients: [accountOf({keyDigests: [key], limit: limitOf(perSecond)})],
		});
	const itemAt = (
		revision: number,
		...content: Parameters<typeof documentWith>
	): RegistryItem => ({
		key: 'routes',
		revision,
		value: {kind: 'routes', document: documentWith(...content)},
	});
	const mirror = nodeWith(itemAt(50, 2, 5, 'new'));
	take(mirror, 'snapshot', [2, 20], [itemAt(10, 1, 100, 'old')]);
	const clients = mirror.routes()?.clients;
	assert.equal(clients?.byKey('old'), undefined);
	assert.equal(clients?.byKey('new')?.limit?.perSecond, 5);
});

test('a reused revision applies to another key', () => {
	const mirror = nodeWith(serverItemOf('a', 21), routesItem(22, 7));
	take(mirror, 'snapshot', [2, 20], []);
	take(
		mirror,
		'changes',
		[2, 22],
		[routesItem(21, 8), serverItemOf('b', 22, {isLeaving: true})],
	);
	assert.equal(versionOf(mirror), 8);
	assert.equal(mirror.servers().get('b')?.server.isLeaving, true);
});
