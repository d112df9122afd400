import {test, type TestContext} from 'node:test';
import {createLogger} from '../../src/logging/index.ts';
import {
	createRegistryFollower,
	createRegistryMirror,
	startupPauseMs,
	registryPollPauseMs,
} from '../../src/registry/index.ts';

// The entries change so often that the registry answers each request at once.
const requestsIn = async (
	{mock}: TestContext,
	spanMs: number,
	hasJustStarted: boolean,
	onRead: (requests: number) => void = () => undefined,
): Promise<number> => {
	mock.timers.enable({apis: ['setTimeout']});
	let now = 0;
	let requests = 0;
	const follower = createRegistryFollower({
		mirror: createRegistryMirror(),
		registry: {
			async snapshot() {
				requests += 1;
				return {kind: 'snapshot', revision: 1, items: []};
			},
			async changes(after) {
				requests += 1;
				return {kind: 'changes', revision: after + 1, items: []};
			},
			close: async () => undefined,
		},
		askPeer: async () => ({kind: 'unavailable', reason: 'no peer'}),
		pickPeer: () => undefined,
		relay: () => undefined,
		askRelay: async () => undefined,
		hasJustStarted: () => hasJustStarted,
		onRead() {
			onRead(requests);
		},
		clock: () => now,
		randomFraction: () => 0.5,
		logger: createLogger('test'),
		onChanges: () => undefined,
		announceChanges: () => undefined,
	});
	follower.start();
	for (; now < spanMs; now += 10) {
		mock.timers.tick(10);
		for (let turn = 0; turn < 10; turn += 1) {
			await Promise.resolve();
		}
	}

	await follower.stop();
	mock.timers.reset();
	return requests;
};

test('a node that has just started pauses longer between requests while servers register', async (t: TestContext) => {
	const spanMs = 2 * startupPauseMs + 400;
	t.assert.strictEqual(await requestsIn(t, spanMs, true), 3);
	t.assert.strictEqual(
		await requestsIn(t, spanMs, false),
		Math.ceil(spanMs / registryPollPauseMs),
	);
});

// Guards against a node that never follows the registry again after one fault of its own.
test('a fault while an answer is processed does not end the following of the registry', async (t: TestContext) => {
	const requests = await requestsIn(t, 3000, false, (count) => {
		if (count === 2) {
			throw new Error('a fault');
		}
	});
	t.assert.ok(requests > 5, `${requests} requests`);
});
