// Guards against a peak of one region that is refused while other regions have free slots, and against regions that move their
// requests all at once: each step simulates one report, which is answered by a new fraction.
import {test, type TestContext} from 'node:test';
import {
	comfortableUtilization,
	nextOverflowFraction,
	type RegionLoad,
} from '../../src/demand/index.ts';

type Region = {readonly offered: number; readonly slots: number};

const loadOf = (region: string, load: number, slots: number): RegionLoad => ({
	region,
	service: 'engine',
	load,
	slots,
});

// Returns the load of each region after a number of reports, and all fractions of the first one.
const settle = (
	regions: readonly [Region, ...Region[]],
	reports: number,
): {
	readonly loads: readonly number[];
	readonly fractions: readonly number[];
} => {
	const [first, ...others] = regions;
	let fraction = 0;
	let loads = regions.map(({offered}) => offered);
	const fractions: number[] = [];
	for (let report = 0; report < reports; report += 1) {
		const before = loads;
		const known = regions.map(({slots}, index) =>
			loadOf(`region-${index}`, before[index]!, slots),
		);
		fraction = nextOverflowFraction(known[0]!, known.slice(1), fraction);
		fractions.push(fraction);
		const free = others.map(({offered, slots}) =>
			Math.max(0, slots * comfortableUtilization - offered),
		);
		const allFree = free.reduce((sum, each) => sum + each, 0);
		const moved = first.offered * fraction;
		loads = [
			first.offered - moved,
			...others.map(
				({offered}, index) => offered + (moved * free[index]!) / allFree,
			),
		];
	}

	return {loads, fractions};
};

test('a region at its peak moves what exceeds the mean utilization', (t: TestContext) => {
	const {loads} = settle(
		[
			{offered: 900, slots: 800},
			{offered: 100, slots: 480},
			{offered: 60, slots: 290},
		],
		12,
	);
	t.assert.ok(loads[0]! <= 800 * comfortableUtilization * 1.02, `${loads[0]}`);
	t.assert.ok(loads[1]! <= 480 * comfortableUtilization, `${loads[1]}`);
	t.assert.ok(loads[2]! <= 290 * comfortableUtilization, `${loads[2]}`);
});

test('the fraction rises and falls without swinging', (t: TestContext) => {
	const {fractions} = settle(
		[
			{offered: 900, slots: 800},
			{offered: 100, slots: 480},
		],
		20,
	);
	const falls = fractions.filter(
		(fraction, index) => fraction < (fractions[index - 1] ?? 0) - 0.01,
	);
	t.assert.strictEqual(falls.length, 0);
	const local = loadOf('a', 100, 800);
	const other = loadOf('b', 100, 480);
	let fraction = fractions.at(-1)!;
	for (let report = 0; report < 6; report += 1) {
		fraction = nextOverflowFraction(local, [other], fraction);
	}

	t.assert.ok(fraction < 0.02, `${fraction}`);
});

test('nothing moves while the region is comfortable, or while no other region has free slots', (t: TestContext) => {
	const other = loadOf('b', 10, 480);
	t.assert.strictEqual(
		nextOverflowFraction(loadOf('a', 700, 800), [other], 0),
		0,
	);
	const full = loadOf('b', 470, 480);
	t.assert.strictEqual(
		nextOverflowFraction(loadOf('a', 900, 800), [full], 0),
		0,
	);
	t.assert.strictEqual(nextOverflowFraction(loadOf('a', 900, 800), [], 0), 0);
	t.assert.strictEqual(
		nextOverflowFraction(loadOf('a', 0, 0), [other], 0.5),
		0,
	);
});
