import {test, type TestContext} from 'node:test';
import {
	compareEveryMs,
	comparisonsToTrust,
	createElapsedClock,
	shortestSuspensionMs,
} from '../../src/shared/index.ts';

// A machine whose clocks the test sets.
const setUp = () => {
	const clocks = {steady: 1000, wall: 500_000, uptime: 70_000};
	const suspensions: number[] = [];
	const clock = createElapsedClock(
		{
			steady: () => clocks.steady,
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
		for (let turn = 0; turn <= comparisonsToTrust; turn += 1) {
			run(compareEveryMs, uptimeRate);
		}
	};

	return {clocks, clock, run, runLong, suspensions};
};

test('time in which the machine was suspended has passed', (t: TestContext) => {
	const {clocks, clock, runLong, suspensions} = setUp();
	runLong();
	const before = clock();
	clocks.wall += 5000;
	clocks.uptime += 5000;
	t.assert.strictEqual(clock() - before, 5000);
	t.assert.deepStrictEqual(suspensions, [5000]);
	t.assert.strictEqual(clock() - before, 5000);
});

test('a time of day that is set forward or back moves nothing', (t: TestContext) => {
	const {clocks, clock, runLong, suspensions} = setUp();
	runLong();
	const before = clock();
	clocks.wall += 5000;
	clock();
	clocks.wall -= 8000;
	t.assert.strictEqual(clock() - before, 0);
	t.assert.deepStrictEqual(suspensions, []);
});

test('where the uptime is not of this machine, a leap forward counts, and none back', (t: TestContext) => {
	const {clocks, clock, runLong, suspensions} = setUp();
	runLong(0.3);
	const before = clock();
	clocks.wall += 3000;
	t.assert.strictEqual(clock() - before, 3000);
	clocks.wall -= 3000;
	t.assert.strictEqual(clock() - before, 3000);
	t.assert.deepStrictEqual(suspensions, [3000]);
});

test('what a daemon corrects at a time is no suspension', (t: TestContext) => {
	const {clocks, clock, runLong, suspensions} = setUp();
	runLong();
	clocks.wall += shortestSuspensionMs;
	clock();
	t.assert.deepStrictEqual(suspensions, []);
});

test('a process that is stopped between two readings was not suspended', (t: TestContext) => {
	let stopMs = 0;
	const clocks = {steady: 1000, wall: 500_000};
	const suspensions: number[] = [];
	const clock = createElapsedClock(
		{
			steady: () => clocks.steady,
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

test('it only rises', (t: TestContext) => {
	const {clocks, clock, run} = setUp();
	let last = clock();
	for (const leap of [0, 4000, -9000, 600, -300, 2000]) {
		clocks.wall += leap;
		const now = run(10, leap % 3 === 0 ? 1 : 4);
		t.assert.ok(now >= last);
		last = now;
	}
});
