import {test, type TestContext} from 'node:test';
import {
	createUrgencyPressure,
	minimumPressureFactor,
	pressureIntervalMs,
	type UrgencyPressure,
} from '../../src/demand/index.ts';

const service = 'engine';

// Returns the factor of each priority after some intervals in which requests of one priority find no capacity.
const factorsAfter = (
	pressure: UrgencyPressure,
	{
		intervals,
		fullPriority,
		from = 0,
	}: {
		readonly intervals: number;
		readonly fullPriority?: number;
		readonly from?: number;
	},
): readonly number[] => {
	let factors: readonly number[] = [];
	for (let interval = 0; interval <= intervals; interval += 1) {
		const now = from + interval * pressureIntervalMs;
		factors = [0, 1, 2].map((priority) =>
			pressure.factor(service, priority, now),
		);
		if (fullPriority !== undefined) {
			pressure.recordFull(service, fullPriority, now + 1);
		}
	}

	return factors;
};

test('less urgent requests make way for more urgent ones, but are not shut out', (t: TestContext) => {
	t.assert.deepStrictEqual(
		factorsAfter(createUrgencyPressure(), {intervals: 50, fullPriority: 0}),
		[1, minimumPressureFactor, minimumPressureFactor],
	);
	const [most, middle, least] = factorsAfter(createUrgencyPressure(), {
		intervals: 3,
		fullPriority: 1,
	});
	t.assert.strictEqual(most, 1);
	t.assert.strictEqual(middle, 1);
	t.assert.ok(least! < 1);
});

test('requests that find no capacity take none from equally or more urgent ones', (t: TestContext) => {
	t.assert.deepStrictEqual(
		factorsAfter(createUrgencyPressure(), {intervals: 50, fullPriority: 2}),
		[1, 1, 1],
	);
});

test('capacity returns when urgent requests find some again', (t: TestContext) => {
	const pressure = createUrgencyPressure();
	factorsAfter(pressure, {intervals: 50, fullPriority: 0});
	const from = 51 * pressureIntervalMs;
	t.assert.deepStrictEqual(
		factorsAfter(pressure, {intervals: 20, from}),
		[1, 1, 1],
	);
});

test('each service has a pressure of its own', (t: TestContext) => {
	const pressure = createUrgencyPressure();
	pressure.factor('other', 2, 0);
	factorsAfter(pressure, {intervals: 50, fullPriority: 0});
	t.assert.strictEqual(pressure.factor('other', 2, 50 * pressureIntervalMs), 1);
});
