import {test, type TestContext} from 'node:test';
import {createLogger} from '../../src/logging/index.ts';
import {
	createRegistryFollower,
	createRegistryMirror,
	createRegistryRelay,
	relayLongPollMs,
	type RegistryAnswer,
	type RegistryItem,
	type RelayedAnswer,
} from '../../src/registry/index.ts';

const leavingServer = (revision: number): RegistryItem => ({
	key: 'servers/a',
	revision,
	value: {
		kind: 'server',
		server: {
			id: 'a',
			service: 'engine',
			address: '10.0.0.1:80',
			availabilityZone: 'zone-a',
			slots: 8,
			isLeaving: revision > 1,
			coldMs: 0,
		},
	},
});

// One node that reads the registry, and one that follows it through the relay of the first, in simulated time.
const setUp = ({mock}: TestContext) => {
	mock.timers.enable({apis: ['setTimeout']});
	let now = 0;
	const clock = () => now;
	let revision = 1;
	let isRegistryUp = true;
	let isRelayUp = true;
	const calls = {reader: 0, follower: 0};
	const waiting = new Set<() => void>();

	const registryFor = (who: 'reader' | 'follower') => ({
		async snapshot(): Promise<RegistryAnswer> {
			calls[who] += 1;
			return isRegistryUp || who === 'follower'
				? {kind: 'snapshot', revision, items: [leavingServer(revision)]}
				: {kind: 'unavailable', reason: 'down'};
		},
		async changes(after: number, waitMs: number): Promise<RegistryAnswer> {
			calls[who] += 1;
			if (!isRegistryUp && who === 'reader') {
				return {kind: 'unavailable', reason: 'down'};
			}

			if (revision <= after) {
				await new Promise<void>((resolve) => {
					const done = () => {
						waiting.delete(done);
						resolve();
					};

					waiting.add(done);
					setTimeout(done, waitMs);
				});
			}

			return {
				kind: 'changes',
				revision,
				items: revision > after ? [leavingServer(revision)] : [],
			};
		},
		close: async () => undefined,
	});

	const logger = createLogger('test');
	const readerMirror = createRegistryMirror();
	const reader = createRegistryFollower({
		mirror: readerMirror,
		registry: registryFor('reader'),
		askPeer: async () => ({kind: 'unavailable', reason: 'no peer'}),
		pickPeer: () => undefined,
		relay: () => undefined,
		askRelay: async () => undefined,
		hasJustStarted: () => false,
		onRead() {
			relay.release();
		},
		clock,
		randomFraction: () => 0.5,
		logger,
		onChanges: () => undefined,
		announceChanges: () => undefined,
	});
	const relay = createRegistryRelay({
		mirror: readerMirror,
		isReading: reader.isReading,
		confirmedAt: reader.confirmedAt,
		clock,
	});
	const mirror = createRegistryMirror();
	const follower = createRegistryFollower({
		mirror,
		registry: registryFor('follower'),
		askPeer: async () => ({kind: 'unavailable', reason: 'no peer'}),
		pickPeer: () => undefined,
		relay: () => '10.0.0.2:1',
		async askRelay(_relay, after): Promise<RelayedAnswer | undefined> {
			if (isRelayUp) {
				return relay.answer(after);
			}

			await new Promise((resolve) => {
				setTimeout(resolve, relayLongPollMs + 300);
			});
			return undefined;
		},
		hasJustStarted: () => false,
		onRead: () => undefined,
		clock,
		randomFraction: () => 0.5,
		logger,
		onChanges: () => undefined,
		announceChanges: () => undefined,
	});

	// Advances the time in steps of 10 ms and runs the microtasks of each step.
	const pass = async (milliseconds: number) => {
		for (let passed = 0; passed < milliseconds; passed += 10) {
			now += 10;
			mock.timers.tick(10);
			for (let turn = 0; turn < 20; turn += 1) {
				await Promise.resolve();
			}
		}
	};

	return {
		calls,
		follower,
		mirror,
		pass,
		async start() {
			reader.start();
			await pass(50);
			follower.start();
			await pass(50);
		},
		change() {
			revision += 1;
			for (const done of waiting) {
				done();
			}
		},
		setRegistryUp(isUp: boolean) {
			isRegistryUp = isUp;
		},
		setRelayUp(isUp: boolean) {
			isRelayUp = isUp;
		},
		async stop() {
			await Promise.all([reader.stop(), follower.stop()]);
		},
	};
};

test('a node behind a relay receives changes at once and does not call the registry', async (t: TestContext) => {
	const world = setUp(t);
	await world.start();
	await world.pass(5000);
	t.assert.strictEqual(world.calls.follower, 1);
	world.change();
	await world.pass(350);
	t.assert.strictEqual(world.mirror.revision(), 2);
	t.assert.strictEqual(world.calls.follower, 1);
	t.assert.ok((world.follower.confirmedAt() ?? 0) > 3000);
	await world.stop();
});

test('a node whose relay stops answering receives a change within three seconds', async (t: TestContext) => {
	const world = setUp(t);
	await world.start();
	await world.pass(5000);
	world.setRelayUp(false);
	// The relay still answers the request in flight, but not the next one.
	await world.pass(2000);
	world.change();
	await world.pass(2900);
	t.assert.strictEqual(world.mirror.revision(), 2);
	await world.stop();
});

test('a node whose relay cannot reach the registry reads the registry itself within three seconds', async (t: TestContext) => {
	const world = setUp(t);
	await world.start();
	await world.pass(5000);
	world.setRegistryUp(false);
	world.change();
	await world.pass(2900);
	t.assert.strictEqual(world.mirror.revision(), 2);
	t.assert.ok(world.calls.follower > 1);
	await world.stop();
});

test('two nodes that each consider the other to be the reader do not wait for each other', async (t: TestContext) => {
	const mirror = createRegistryMirror();
	mirror.apply(
		{kind: 'snapshot', revision: 1, items: [leavingServer(1)]},
		0,
		'registry',
	);
	const relay = createRegistryRelay({
		mirror,
		isReading: () => false,
		confirmedAt: () => 0,
		clock: () => 0,
	});
	const {answer} = await relay.answer({era: 0, revision: 1});
	t.assert.strictEqual(answer.kind, 'unavailable');
});

const relayAt = (era: number) => {
	const mirror = createRegistryMirror();
	mirror.apply(
		{kind: 'snapshot', era, revision: 20, items: [leavingServer(1)]},
		0,
		'registry',
	);
	return createRegistryRelay({
		mirror,
		isReading: () => true,
		confirmedAt: () => 0,
		clock: () => 0,
	});
};

test('a relay answers a node of an earlier era at once, with a snapshot', async (t: TestContext) => {
	const {answer} = await relayAt(2).answer({era: 1, revision: 90});
	t.assert.strictEqual(answer.kind, 'snapshot');
});

test('a relay does not serve a node that knows a later era', async (t: TestContext) => {
	const {answer} = await relayAt(1).answer({era: 2, revision: 5});
	t.assert.strictEqual(answer.kind, 'unavailable');
});

test('a relay answers a node that states no era according to its revision', async (t: TestContext) => {
	const relay = relayAt(2);
	const {answer} = await relay.answer({era: undefined, revision: 5});
	t.assert.strictEqual(answer.kind, 'snapshot');
	t.mock.timers.enable({apis: ['setTimeout']});
	const later = relay.answer({era: undefined, revision: 20});
	t.mock.timers.tick(relayLongPollMs);
	t.assert.strictEqual((await later).answer.kind, 'changes');
});
