import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {
	assumedReleasesPerSecond,
	createCapacityForecast,
	forecastWindowMs,
} from '../../../src/gateway/delivery/capacity-forecast.ts';

test('capacity is predicted at the rate at which it recently became free', (t: TestContext) => {
	const forecast = createCapacityForecast();
	for (let index = 0; index < 40; index += 1) {
		forecast.recordRelease('engine', index * 50);
	}

	// Forty releases in two seconds: one every 50 ms.
	t.assert.strictEqual(forecast.waitMs('engine', 0, 1950), 50);
	t.assert.strictEqual(forecast.waitMs('engine', 9, 1950), 500);
});

test('a default rate is assumed if no capacity became free', (t: TestContext) => {
	const forecast = createCapacityForecast();
	const expected = 1000 / assumedReleasesPerSecond;
	t.assert.strictEqual(forecast.waitMs('engine', 0, 0), expected);
	forecast.recordRelease('engine', 0);
	t.assert.strictEqual(
		forecast.waitMs('engine', 0, forecastWindowMs + 1),
		expected,
	);
	t.assert.strictEqual(forecast.waitMs('other', 0, 0), expected);
});

test('a refusal lengthens the predicted wait of the next request', (t: TestContext) => {
	const forecast = createCapacityForecast();
	const first = forecast.waitMs('engine', 3, 0);
	forecast.recordRefusal('engine', 0);
	t.assert.ok(forecast.waitMs('engine', 3, 0) > first);
});

test('a predicted wait is positive and finite, and grows with the number of requests ahead', (t: TestContext) => {
	fc.assert(
		fc.property(
			fc.array(fc.nat(5000), {maxLength: 700}),
			fc.nat(200),
			fc.nat(6000),
			(releases, ahead, now) => {
				const forecast = createCapacityForecast();
				for (const at of releases.toSorted((left, right) => left - right)) {
					forecast.recordRelease('engine', at);
				}

				const wait = forecast.waitMs('engine', ahead, now);
				t.assert.ok(wait > 0 && Number.isFinite(wait));
				t.assert.ok(forecast.waitMs('engine', ahead + 1, now) > wait);
			},
		),
	);
});
