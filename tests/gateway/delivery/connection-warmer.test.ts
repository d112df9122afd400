import {test, type TestContext} from 'node:test';
import type {
	UpstreamCall,
	UpstreamListener,
} from '../../../src/backends/index.ts';
import {
	createConnectionWarmer,
	idleConnectionsPerRegion,
	warmIntervalMs,
	warmTimeoutMs,
} from '../../../src/gateway/delivery/connection-warmer.ts';
import {createRandom} from '../../../src/shared/index.ts';
import {memberOf} from '../../fixtures.ts';

type Opened = {
	readonly call: UpstreamCall;
	readonly listener: UpstreamListener;
	isAborted: boolean;
};

// Sets up two other regions of four nodes each. The tests answer the calls.
const setUp = () => {
	const opened: Opened[] = [];
	const idle = new Set<string>();
	const warmer = createConnectionWarmer({
		client: {
			call(call, listener) {
				const entry = {call, listener, isAborted: false};
				opened.push(entry);
				return {
					abort() {
						entry.isAborted = true;
					},
					resume: () => undefined,
				};
			},
			hasIdleConnection: (key) => idle.has(key),
		},
		otherRegions: ['near', 'far'],
		membersIn: (region) =>
			Array.from({length: 4}, (_, index) =>
				memberOf(`${region}-${index}`, region),
			),
		random: createRandom(3),
	});
	return {
		opened,
		idle,
		warmer,
		answer(entry: Opened) {
			idle.add(entry.call.key);
			entry.listener.onEnd();
		},
	};
};

test('connections to each region are opened one at a time until enough are idle', (t: TestContext) => {
	const {opened, warmer, answer} = setUp();
	let now = 0;
	for (let turn = 0; turn < 10; turn += 1) {
		const before = opened.length;
		warmer.tick(now);
		for (const entry of opened.slice(before)) {
			answer(entry);
		}

		now += warmIntervalMs;
	}

	const keys = opened.map(({call}) => call.key);
	t.assert.strictEqual(new Set(keys).size, keys.length);
	t.assert.strictEqual(keys.length, 2 * idleConnectionsPerRegion);
});

test('a connection that was closed is replaced', (t: TestContext) => {
	const {opened, idle, warmer, answer} = setUp();
	warmer.tick(0);
	for (const entry of opened) {
		answer(entry);
	}

	warmer.tick(warmIntervalMs);
	for (const entry of opened.slice(2)) {
		answer(entry);
	}

	warmer.tick(2 * warmIntervalMs);
	t.assert.strictEqual(opened.length, 4);
	idle.delete(opened[0]!.call.key);
	warmer.tick(3 * warmIntervalMs);
	t.assert.strictEqual(opened.length, 5);
});

test('a call to a node that does not respond is aborted, and another node is tried', (t: TestContext) => {
	const {opened, warmer} = setUp();
	warmer.tick(0);
	warmer.tick(warmIntervalMs);
	t.assert.strictEqual(opened.length, 2);
	warmer.tick(warmTimeoutMs);
	t.assert.deepStrictEqual(
		opened.map(({isAborted}) => isAborted),
		[true, true, false, false],
	);
});

test('after a node could not be reached, another connection is opened', (t: TestContext) => {
	const {opened, warmer} = setUp();
	warmer.tick(0);
	opened[0]!.listener.onFailure({wasSent: false, reason: 'refused'});
	warmer.tick(warmIntervalMs);
	t.assert.strictEqual(opened.length, 3);
});
