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

// Two other regions of four nodes each; calls are answered by the test.
const setUp = () => {
	const opened: Opened[] = [];
	const resting = new Set<string>();
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
			hasIdleConnection: (key) => resting.has(key),
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
		resting,
		warmer,
		answer(entry: Opened) {
			resting.add(entry.call.key);
			entry.listener.onEnd();
		},
	};
};

test('connections to each region are opened one after the other until enough rest', (t: TestContext) => {
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
	const {opened, resting, warmer, answer} = setUp();
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
	resting.delete(opened[0]!.call.key);
	warmer.tick(3 * warmIntervalMs);
	t.assert.strictEqual(opened.length, 5);
});

test('a node that does not answer is given up, and another may be tried', (t: TestContext) => {
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

test('a node that cannot be reached does not end the search', (t: TestContext) => {
	const {opened, warmer} = setUp();
	warmer.tick(0);
	opened[0]!.listener.onFailure({wasSent: false, reason: 'refused'});
	warmer.tick(warmIntervalMs);
	t.assert.strictEqual(opened.length, 3);
});
