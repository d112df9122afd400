import {test, type TestContext} from 'node:test';
import {
	comparisonIntervalMs,
	requiredAgreements,
	createElapsedClock,
	minimumSuspensionMs,
} from '../../src/shared/index.ts';

// Creates an elapsed clock on simulated machine clocks that the test controls.
const setUp = () => {
	const clocks = {steady: 1000, wall: 500_000, uptime: 70_000};
	const suspensions: number[] = [];
	const clock = createElapsedClock(
		{
			monotonic: () => clocks.steady,
			wall: () => clocks.wall,
			uptime: () => clocks.uptime,
		},
		(ms) => {
			suspensions.push(ms);
		},
	);
	const run = (ms: number, uptimeRate = 1) => {
		clocks.steady += ms;
		clocks.wall += ms;
		clocks.uptime += ms * uptimeRate;
		return clock();
	};

	const runLong = (uptimeRate = 1) => {
		for (let turn = 0; turn <= requiredAgreements; turn += 1) {
			run(comparisonIntervalMs, uptimeRate);
		}
	};

	return {clocks, clock, run, runLong, suspensions};
};

test('the clock includes time during which the machine was suspended', (t: TestContext) => {
	const {clocks, clock, runLong, suspensions} = setUp();
	runLong();
	const before = clock();
	clocks.wall += 5000;
	clocks.uptime += 5000;
	t.assert.strictEqual(clock() - before, 5000);
	t.assert.deepStrictEqual(suspensions, [5000]);
	t.assert.strictEqual(clock() - before, 5000);
});

test('setting the wall clock forward or back does not change the elapsed time', (t: TestContext) => {
	const {clocks, clock, runLong, suspensions} = setUp();
	runLong();
	const before = clock();
	clocks.wall += 5000;
	clock();
	clocks.wall -= 8000;
	t.assert.strictEqual(clock() - before, 0);
	t.assert.deepStrictEqual(suspensions, []);
});

test('if the uptime belongs to another machine, only forward jumps of the wall clock count', (t: TestContext) => {
	const {clocks, clock, runLong, suspensions} = setUp();
	runLong(0.3);
	const before = clock();
	clocks.wall += 3000;
	t.assert.strictEqual(clock() - before, 3000);
	clocks.wall -= 3000;
	t.assert.strictEqual(clock() - before, 3000);
	t.assert.deepStrictEqual(suspensions, [3000]);
});

test('an adjustment by a time synchronization daemon is not a suspension', (t: TestContext) => {
	const {clocks, clock, runLong, suspensions} = setUp();
	runLong();
	clocks.wall += minimumSuspensionMs;
	clock();
	t.assert.deepStrictEqual(suspensions, []);
});

test('a process that is paused between two clock readings was not suspended', (t: TestContext) => {
	let stopMs = 0;
	const clocks = {steady: 1000, wall: 500_000};
	const suspensions: number[] = [];
	const clock = createElapsedClock(
		{
			monotonic: () => clocks.steady,
			wall() {
				clocks.steady += stopMs;
				clocks.wall += stopMs;
				stopMs = 0;
				return clocks.wall;
			},
			uptime: () => 0,
		},
		(ms) => {
			suspensions.push(ms);
		},
	);
	stopMs = 5000;
	t.assert.strictEqual(clock(), 6000);
	t.assert.deepStrictEqual(suspensions, []);
});

test('the clock is monotonic', (t: TestContext) => {
	const {clocks, clock, run} = setUp();
	let last = clock();
	for (const jump of [0, 4000, -9000, 600, -300, 2000]) {
		clocks.wall += jump;
		const now = run(10, jump % 3 === 0 ? 1 : 4);
		t.assert.ok(now >= last);
		last = now;
	}
});
