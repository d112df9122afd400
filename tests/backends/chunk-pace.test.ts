import {test, type TestContext} from 'node:test';
import {
	createBackendFleet,
	createChunkLength,
	createChunkPace,
	type Placement,
} from '../../src/backends/index.ts';
import {fleetOptionsOf, knownServerOf} from '../gateway/fixtures.ts';

test('with few samples, the pace is close to the assumption; with many, it is their average', (t: TestContext) => {
	const pace = createChunkPace();
	t.assert.strictEqual(pace.meanMs(0, 100), 100);
	pace.record(300, 0);
	t.assert.ok(pace.meanMs(0, 100) < 150);
	for (let index = 0; index < 200; index += 1) {
		pace.record(300, 0);
	}

	t.assert.ok(pace.meanMs(0, 100) > 290);
});

test('an old measurement gives way to the assumption, and the recent pace expires', (t: TestContext) => {
	const pace = createChunkPace();
	for (let index = 0; index < 200; index += 1) {
		pace.record(300, 0);
	}

	t.assert.ok(pace.recentMs(0) > 280);
	t.assert.strictEqual(pace.recentMs(3000), 0);
	t.assert.ok(pace.meanMs(20_000, 100) < 110);
});

test('the pace follows a change within a few seconds', (t: TestContext) => {
	const pace = createChunkPace();
	for (let now = 0; now < 10_000; now += 100) {
		pace.record(now < 5000 ? 50 : 200, now);
	}

	t.assert.ok(pace.meanMs(10_000, 0) > 100);
});

test('the length of a stream in chunks is learned from complete streams', (t: TestContext) => {
	const length = createChunkLength();
	t.assert.strictEqual(length.chunksOf(100), undefined);
	for (let index = 0; index < 50; index += 1) {
		length.record(160, 20);
	}

	t.assert.ok(Math.abs(length.chunksOf(952)! - 119) < 0.001);
});

test('a long stream is sent to a fast server although a slow one has fewer requests', (t: TestContext) => {
	const fleet = createBackendFleet(fleetOptionsOf());
	fleet.sync(new Map(['a', 'b'].map((id) => [id, knownServerOf(id, 64)])), 0);
	const placementOf = (expectedTokens: number): Placement => ({
		service: 'engine',
		promptTokens: 100,
		targetMs: 1000,
		expectedTokens,
		expiresAt: 12_000,
		excluded: new Set(),
	});
	for (const [id, intervalMs] of [
		['a', 120],
		['b', 40],
	] as const) {
		const attempt = fleet.begin(id, placementOf(200), 0);
		for (let index = 1; index < 200; index += 1) {
			attempt.recordChunkInterval(intervalMs, 0);
		}

		attempt.end('answered', 0);
	}

	for (let index = 0; index < 24; index += 1) {
		fleet.begin('b', placementOf(5), 0);
	}

	const idOf = (expectedTokens: number) => {
		const choice = fleet.choose(placementOf(expectedTokens), 0);
		return choice.kind === 'server' ? choice.id : choice.kind;
	};

	t.assert.strictEqual(idOf(5), 'a');
	t.assert.strictEqual(idOf(100), 'b');
});
