import {test, type TestContext} from 'node:test';
import {
	createRouteDurations,
	samplesPerRoute,
} from '../../../src/gateway/delivery/route-durations.ts';

test('a route with too few samples has no quantiles', (t: TestContext) => {
	const durations = createRouteDurations();
	for (let index = 0; index < 7; index += 1) {
		durations.record('route', 10);
	}

	t.assert.strictEqual(durations.quantileMs('route', 0.5), undefined);
	durations.record('route', 10);
	t.assert.strictEqual(durations.quantileMs('route', 0.5), 10);
	t.assert.strictEqual(durations.quantileMs('other', 0.5), undefined);
});

test('quantiles cover the latest requests only', (t: TestContext) => {
	const durations = createRouteDurations();
	for (let index = 0; index < 500; index += 1) {
		durations.record('route', 9000);
	}

	for (let index = 1; index <= samplesPerRoute; index += 1) {
		durations.record('route', index);
	}

	t.assert.strictEqual(durations.quantileMs('route', 1), samplesPerRoute);
	t.assert.strictEqual(durations.quantileMs('route', 0.5), 32.5);
});

test('a request is compared with requests of half to twice its length', (t: TestContext) => {
	const durations = createRouteDurations();
	for (let index = 0; index < 40; index += 1) {
		durations.record('route', 1000, 100);
	}

	t.assert.strictEqual(durations.quantileMs('route', 0.9, 900), undefined);
	for (let index = 0; index < 10; index += 1) {
		durations.record('route', 9000, 500);
	}

	t.assert.strictEqual(durations.quantileMs('route', 0.9, 900), 9000);
	t.assert.strictEqual(durations.quantileMs('route', 0.95, 150), 1000);
	t.assert.strictEqual(durations.quantileMs('route', 0.95), 9000);
});
