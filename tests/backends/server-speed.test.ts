import {test, type TestContext} from 'node:test';
import {
	createBackendFleet,
	createServerSpeed,
} from '../../src/backends/index.ts';
import {createRandom} from '../../src/shared/index.ts';
import {fleetOptionsOf, knownServerOf, serviceOf} from '../gateway/fixtures.ts';

test('a few samples do not banish a server, many show its speed', (t: TestContext) => {
	const speed = createServerSpeed();
	t.assert.strictEqual(speed.relative(), 1);
	speed.record(40, 160);
	t.assert.ok(speed.relative() > 0.7);
	for (let count = 0; count < 40; count += 1) {
		speed.record(96, 160);
	}

	t.assert.ok(Math.abs(speed.relative() - 0.6) < 0.05);
});

test('a server that returns with another speed is noticed', (t: TestContext) => {
	const speed = createServerSpeed();
	for (let count = 0; count < 40; count += 1) {
		speed.record(256, 160);
	}

	for (let count = 0; count < 40; count += 1) {
		speed.record(96, 160);
	}

	t.assert.ok(Math.abs(speed.relative() - 0.6) < 0.1);
});

test('measurements that are not positive numbers are ignored, and absurd ones are bounded', (t: TestContext) => {
	const speed = createServerSpeed();
	speed.record(0, 160);
	speed.record(160, 0);
	speed.record(NaN, 160);
	t.assert.strictEqual(speed.relative(), 1);
	speed.record(1e9, 160);
	t.assert.ok(speed.relative() <= 2);
});

// Returns the fraction of long prompts that a node sends to slow servers, half of which it has.
const slowFraction = (urgencyLevels: readonly number[] | undefined): number => {
	const random = createRandom(5);
	const slow = new Set(['slow-1', 'slow-2']);
	const fast = ['fast-1', 'fast-2'];
	const fleet = createBackendFleet({
		...fleetOptionsOf({randomFraction: random.fraction}),
		service: () => serviceOf({engine: {slots: 24, memoryTokens: 500_000}}),
		urgencyLevels: () => urgencyLevels,
	});
	fleet.sync(
		new Map([...slow, ...fast].map((id) => [id, knownServerOf(id, 24)])),
		0,
	);
	const placement = {
		service: 'engine',
		promptTokens: 6600,
		targetMs: 600,
		priority: 2,
		excluded: new Set<string>(),
	};
	let now = 0;
	let sentToSlow = 0;
	const total = 400;
	for (let count = 0; count < total; count += 1) {
		const choice = fleet.choose(placement, now);
		if (choice.kind !== 'server') {
			continue;
		}

		const isSlow = slow.has(choice.id);
		sentToSlow += isSlow ? 1 : 0;
		const attempt = fleet.begin(choice.id, placement, now);
		now += 6600 / (isSlow ? 96 : 256);
		attempt.recordFirstEvent(now);
		attempt.end('answered', now);
		now += 200;
	}

	return sentToSlow / total;
};

test('long prompts go to fast servers where there is a choice', (t: TestContext) => {
	t.assert.ok(slowFraction([0, 1, 2]) < 0.2);
	t.assert.ok(slowFraction(undefined) > 0.3);
});
