import {test, type TestContext} from 'node:test';
import {
	createSmoothedCount,
	estimatedPeerRequests,
	smoothingMs,
} from '../../src/backends/index.ts';

test('the mean follows the count within a few seconds and ignores momentary changes', (t: TestContext) => {
	const count = createSmoothedCount();
	count.add(8, 0);
	t.assert.strictEqual(count.mean(0), 0);
	t.assert.ok(count.mean(20) < 0.1);
	t.assert.ok(Math.abs(count.mean(smoothingMs) - 8 * (1 - 1 / Math.E)) < 0.01);
	t.assert.ok(count.mean(10 * smoothingMs) > 7.99);
	count.add(-8, 10 * smoothingMs);
	t.assert.ok(count.mean(20 * smoothingMs) < 0.01);
});

test('a clock that stands still or goes back does not change the mean', (t: TestContext) => {
	const count = createSmoothedCount();
	count.add(4, 1000);
	const before = count.mean(3000);
	t.assert.strictEqual(count.mean(3000), before);
	t.assert.strictEqual(count.mean(2000), before);
	t.assert.strictEqual(count.mean(3000), before);
});

test('each other node is assumed to have as many requests as this one, spread over the servers', (t: TestContext) => {
	t.assert.strictEqual(estimatedPeerRequests(2, 65, 16), 8);
	t.assert.strictEqual(estimatedPeerRequests(2, 1, 16), 0);
	t.assert.strictEqual(estimatedPeerRequests(2, 3, 0), 4);
});
