import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	createRegistryMirror,
	lapseGraceMs,
	type RegistryItem,
	type RegistryValue,
} from '../../src/registry/index.ts';
import {documentOf} from '../gateway/fixtures.ts';
import {serverItemOf} from './fixtures.ts';

const item = (
	key: string,
	revision: number,
	value?: RegistryValue,
): RegistryItem => ({key, revision, value});

const changesOf = (revision: number, ...items: readonly RegistryItem[]) =>
	({kind: 'changes', revision, items}) as const;

const snapshotOf = (revision: number, ...items: readonly RegistryItem[]) =>
	({kind: 'snapshot', revision, items}) as const;

test('the version of the routes never decreases when updates are late, duplicated or out of order', () => {
	const order = fc.array(
		fc.record({
			revision: fc.integer({min: 1, max: 50}),
			version: fc.integer({min: 1, max: 20}),
			isPeer: fc.boolean(),
		}),
	);
	fc.assert(
		fc.property(order, (steps) => {
			const mirror = createRegistryMirror();
			let highest = 0;
			for (const {revision, version, isPeer} of steps) {
				const document = documentOf({version});
				mirror.apply(
					changesOf(
						revision,
						item('op/config', revision, {kind: 'routes', document}),
					),
					0,
					isPeer ? 'peer' : 'registry',
				);
				const inForce = mirror.routes()?.document.version ?? 0;
				assert.ok(inForce >= highest);
				highest = inForce;
			}
		}),
	);
});

test('an older item of a key changes nothing, also after the removal of the key', () => {
	const mirror = createRegistryMirror();
	mirror.apply(changesOf(5, serverItemOf('s', 5)), 0, 'registry');
	mirror.apply(changesOf(7, item('servers/s', 7)), 0, 'registry');
	mirror.apply(changesOf(6, serverItemOf('s', 6)), 0, 'peer');
	assert.equal(mirror.servers().size, 0);
});

test('an older snapshot is ignored, and a newer one removes the keys that it does not contain', () => {
	const mirror = createRegistryMirror();
	mirror.apply(
		changesOf(9, serverItemOf('a', 8), serverItemOf('b', 9)),
		0,
		'registry',
	);
	mirror.apply(snapshotOf(4), 0, 'registry');
	assert.equal(mirror.servers().size, 2);
	mirror.apply(snapshotOf(12, serverItemOf('b', 9)), 0, 'registry');
	assert.deepEqual([...mirror.servers().keys()], ['b']);
});

test('an entry that went missing while the registry was unavailable is kept for the grace period only', () => {
	const mirror = createRegistryMirror();
	mirror.apply(changesOf(1, serverItemOf('s', 1)), 0, 'registry');
	mirror.sourceFailed(1000);
	mirror.apply(changesOf(2, item('servers/s', 2)), 2000, 'registry');
	assert.equal(mirror.servers().size, 1);
	assert.deepEqual(mirror.expire(2000 + lapseGraceMs - 1), []);
	assert.equal(mirror.expire(2000 + lapseGraceMs).length, 1);
	assert.equal(mirror.servers().size, 0);
});

test('an entry that is back within the grace period stays', () => {
	const mirror = createRegistryMirror();
	mirror.apply(changesOf(1, serverItemOf('s', 1)), 0, 'registry');
	mirror.sourceFailed(1000);
	mirror.apply(changesOf(2, item('servers/s', 2)), 2000, 'registry');
	mirror.apply(changesOf(3, serverItemOf('s', 3)), 3000, 'registry');
	assert.deepEqual(mirror.expire(10_000), []);
	assert.equal(mirror.servers().size, 1);
});

test('a removal while the registry answers applies at once, also on a node whose own requests fail', () => {
	const reader = createRegistryMirror();
	reader.apply(changesOf(1, serverItemOf('s', 1)), 0, 'registry');
	reader.apply(changesOf(2, item('servers/s', 2)), 5000, 'registry');
	const turnedAway = createRegistryMirror();
	turnedAway.apply(changesOf(1, serverItemOf('s', 1)), 0, 'registry');
	turnedAway.sourceFailed(4900);
	const answer = reader.answerFor({era: 0, revision: 1}, 5000);
	assert.strictEqual(answer.kind, 'changes');
	turnedAway.apply(answer, 5000, 'peer');
	assert.equal(turnedAway.servers().size, 0);
});

test('a leaving server whose entry goes missing is removed without a grace period', () => {
	const mirror = createRegistryMirror();
	mirror.apply(
		changesOf(1, serverItemOf('s', 1, {isLeaving: true})),
		0,
		'registry',
	);
	mirror.sourceFailed(100);
	mirror.apply(changesOf(2, item('servers/s', 2)), 200, 'registry');
	assert.equal(mirror.servers().size, 0);
});

test('an evacuation is in force until its key is removed', () => {
	const mirror = createRegistryMirror();
	const value = {kind: 'evacuation', availabilityZone: 'zone-a'} as const;
	mirror.apply(
		changesOf(3, item('op/evacuate/zone-a', 3, value)),
		0,
		'registry',
	);
	assert.ok(mirror.isEvacuated('zone-a'));
	mirror.apply(changesOf(4, item('op/evacuate/zone-a', 4)), 0, 'peer');
	assert.ok(!mirror.isEvacuated('zone-a'));
});

test('the remaining cold time shrinks while other nodes relay the entry', () => {
	const mirror = createRegistryMirror();
	mirror.apply(
		changesOf(1, serverItemOf('s', 1, {coldMs: 3000})),
		0,
		'registry',
	);
	const answer = mirror.snapshot(1000);
	const [relayed] = answer.items;
	assert.strictEqual(relayed?.value?.kind, 'server');
	assert.equal(relayed.value.server.coldMs, 2000);
});

test('nodes that exchange changes in any order end with the same mirror', () => {
	const step = fc.record({
		id: fc.constantFrom('a', 'b', 'c'),
		isRemoval: fc.boolean(),
		isPassedOn: fc.boolean(),
	});
	fc.assert(
		fc.property(fc.array(step, {maxLength: 40}), (steps) => {
			const first = createRegistryMirror();
			const second = createRegistryMirror();
			const pass = () => {
				const answer = first.answerFor(second.position(), 0);
				if (answer.kind === 'changes' || answer.kind === 'snapshot') {
					second.apply(answer, 0, 'peer');
				}
			};

			for (const [index, {id, isRemoval, isPassedOn}] of steps.entries()) {
				const revision = index + 1;
				const changed = isRemoval
					? item(`servers/${id}`, revision)
					: serverItemOf(id, revision);
				first.apply(changesOf(revision, changed), 0, 'registry');
				if (isPassedOn) {
					pass();
				}
			}

			pass();
			assert.deepEqual(
				[...second.servers().keys()].toSorted(),
				[...first.servers().keys()].toSorted(),
			);
		}),
	);
});

test('a node that applies changes ends with the same servers as a node that reads snapshots', () => {
	// Each step writes or removes one of a few servers. The reader reads some steps as changes; it misses the others and
	// catches up by a snapshot.
	const steps = fc.array(
		fc.record({
			id: fc.constantFrom('a', 'b', 'c', 'd'),
			isRemoved: fc.boolean(),
			isSnapshot: fc.boolean(),
			isAsked: fc.boolean(),
		}),
		{maxLength: 60},
	);
	fc.assert(
		fc.property(steps, (order) => {
			const rows = new Map<string, RegistryItem>();
			const reader = createRegistryMirror();
			const follower = createRegistryMirror();
			let revision = 1;
			reader.apply(snapshotOf(revision), 0, 'registry');
			follower.apply(snapshotOf(revision), 0, 'peer');
			for (const {id, isRemoved, isSnapshot, isAsked} of order) {
				revision += 1;
				const written = isRemoved
					? item(`servers/${id}`, revision)
					: serverItemOf(id, revision);
				if (isRemoved) {
					rows.delete(written.key);
				} else {
					rows.set(written.key, written);
				}

				if (isSnapshot) {
					reader.apply(snapshotOf(revision, ...rows.values()), 0, 'registry');
				} else if (reader.revision() === revision - 1) {
					reader.apply(changesOf(revision, written), 0, 'registry');
				}

				if (isAsked) {
					const answer = reader.answerFor(follower.position(), 0);
					assert.equal(answer.kind, 'changes');
					if (answer.kind === 'changes') {
						follower.apply(answer, 0, 'peer');
					}

					assert.deepEqual(
						[...follower.servers().keys()].toSorted(),
						[...reader.servers().keys()].toSorted(),
					);
				}
			}
		}),
	);
});

const unreadable = {kind: 'unreadable'} as const;

test('an unreadable entry removes its server only', () => {
	const mirror = createRegistryMirror();
	mirror.sourceFailed(0);
	mirror.apply(
		changesOf(2, serverItemOf('a', 1), serverItemOf('b', 2)),
		10,
		'registry',
	);
	const changes = mirror.apply(
		changesOf(3, item('servers/a', 3, unreadable)),
		20,
		'registry',
	);
	assert.deepEqual(changes, [{kind: 'server', id: 'a', isUsable: false}]);
	assert.deepEqual([...mirror.servers().keys()], ['b']);
	mirror.apply(changesOf(4, serverItemOf('a', 4)), 30, 'registry');
	assert.deepEqual([...mirror.servers().keys()].toSorted(), ['a', 'b']);
});

test('unreadable routes leave the last readable ones in force, also for nodes that ask later', () => {
	const mirror = createRegistryMirror();
	const document = documentOf({version: 3});
	mirror.apply(
		changesOf(1, item('routes', 1, {kind: 'routes', document})),
		0,
		'registry',
	);
	mirror.apply(snapshotOf(5, item('routes', 4, unreadable)), 10, 'registry');
	assert.equal(mirror.routes()?.document.version, 3);
	const newcomer = createRegistryMirror();
	newcomer.apply({kind: 'snapshot', ...mirror.snapshot(20)}, 20, 'peer');
	assert.equal(newcomer.routes()?.document.version, 3);
});

test('a server that restarts under its id is cold for the time that its new entry states', () => {
	const mirror = createRegistryMirror();
	const coldUntil = () => mirror.servers().get('a')?.coldUntil;
	mirror.apply(
		changesOf(1, serverItemOf('a', 1, {startedAt: 100, coldMs: 9000})),
		0,
		'registry',
	);
	mirror.apply(
		changesOf(2, serverItemOf('a', 2, {startedAt: 200, coldMs: 500})),
		1000,
		'registry',
	);
	assert.equal(coldUntil(), 1500);
	// The last entry of the earlier incarnation arrives late.
	mirror.apply(
		changesOf(3, serverItemOf('a', 3, {startedAt: 100, isLeaving: true})),
		1100,
		'registry',
	);
	assert.equal(mirror.servers().get('a')?.server.isLeaving, false);
	assert.equal(mirror.servers().get('a')?.server.startedAt, 200);
});

test('an announced shutdown overrides every entry of its incarnation, and ends with the next incarnation', () => {
	const step = fc.oneof(
		fc.constant('entry'),
		fc.constant('removal'),
		fc.constant('snapshot'),
		fc.constant('outage'),
		fc.constant('grace'),
	);
	fc.assert(
		fc.property(
			fc.array(step, {maxLength: 12}),
			fc.nat(12),
			(steps, announcedAt) => {
				const mirror = createRegistryMirror();
				let now = 0;
				let revision = 0;
				const entry = (startedAt: number) => {
					revision += 1;
					mirror.apply(
						changesOf(revision, serverItemOf('a', revision, {startedAt})),
						now,
						'registry',
					);
				};

				const take = {
					entry() {
						entry(1);
					},
					removal() {
						revision += 1;
						mirror.apply(
							changesOf(revision, item('servers/a', revision)),
							now,
							'registry',
						);
					},
					snapshot() {
						revision += 1;
						mirror.apply(
							snapshotOf(revision, serverItemOf('a', revision, {startedAt: 1})),
							now,
							'registry',
						);
					},
					outage() {
						mirror.sourceFailed(now);
					},
					grace() {
						now += lapseGraceMs;
						mirror.expire(now);
					},
				};
				const isUsable = () =>
					mirror.servers().get('a')?.server.isLeaving === false;

				entry(1);
				for (const [index, each] of steps.entries()) {
					if (index === announcedAt) {
						mirror.recordShutdown('a', 'a 1');
					}

					take[each]();
					assert.ok(index < announcedAt || !isUsable());
				}

				mirror.recordShutdown('a', 'a 1');
				assert.ok(!isUsable());
				entry(2);
				assert.ok(isUsable());
			},
		),
	);
});

test('a node learns of an announced shutdown from the snapshot of another node', () => {
	const first = createRegistryMirror();
	first.apply(
		changesOf(1, serverItemOf('a', 1, {startedAt: 1})),
		0,
		'registry',
	);
	first.recordShutdown('a', 'a 1');
	const second = createRegistryMirror();
	second.apply({kind: 'snapshot', ...first.snapshot(0)}, 0, 'peer');
	assert.equal(second.servers().get('a')?.server.isLeaving, true);
});
