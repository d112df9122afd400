import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {
	assumedReleasesPerSecond,
	createCapacityForecast,
	forecastWindowMs,
} from '../../../src/gateway/delivery/capacity-forecast.ts';

test('room is expected as often as it became free lately', (t: TestContext) => {
	const outlook = createCapacityForecast();
	for (let index = 0; index < 40; index += 1) {
		outlook.noteRelease('engine', index * 50);
	}

	// Forty in two seconds: one each 50 ms.
	t.assert.strictEqual(outlook.waitMs('engine', 0, 1950), 50);
	t.assert.strictEqual(outlook.waitMs('engine', 9, 1950), 500);
});

test('where none became free a modest rate is assumed', (t: TestContext) => {
	const outlook = createCapacityForecast();
	const expected = 1000 / assumedReleasesPerSecond;
	t.assert.strictEqual(outlook.waitMs('engine', 0, 0), expected);
	outlook.noteRelease('engine', 0);
	t.assert.strictEqual(
		outlook.waitMs('engine', 0, forecastWindowMs + 1),
		expected,
	);
	t.assert.strictEqual(outlook.waitMs('other', 0, 0), expected);
});

test('who is refused later is told to come back later', (t: TestContext) => {
	const outlook = createCapacityForecast();
	const first = outlook.waitMs('engine', 3, 0);
	outlook.noteRefusal('engine', 0);
	t.assert.ok(outlook.waitMs('engine', 3, 0) > first);
});

test('a wait is a time, and no shorter for more before', (t: TestContext) => {
	fc.assert(
		fc.property(
			fc.array(fc.nat(5000), {maxLength: 700}),
			fc.nat(200),
			fc.nat(6000),
			(freed, before, now) => {
				const outlook = createCapacityForecast();
				for (const at of freed.toSorted((left, right) => left - right)) {
					outlook.noteRelease('engine', at);
				}

				const wait = outlook.waitMs('engine', before, now);
				t.assert.ok(wait > 0 && Number.isFinite(wait));
				t.assert.ok(outlook.waitMs('engine', before + 1, now) > wait);
			},
		),
	);
});
