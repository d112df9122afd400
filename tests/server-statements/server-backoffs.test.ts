import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {
	createServerBackoffs,
	maximumSlowStartMs,
	maximumJitterMs,
	maximumBackoffs,
} from '../../src/server-statements/index.ts';

const noJitter = () => 0;

test('a later, shorter backoff does not end a longer one', (t: TestContext) => {
	const backoffs = createServerBackoffs(noJitter);
	backoffs.begin('a', 3000, 0);
	backoffs.begin('a', 500, 100);
	t.assert.strictEqual(backoffs.remainingMs('a', 1000), 2000);
});

test('a backoff applies to one incarnation of one server', (t: TestContext) => {
	const backoffs = createServerBackoffs(noJitter);
	backoffs.begin('a 1', 3000, 0);
	t.assert.strictEqual(backoffs.remainingMs('a 2', 0), 0);
	t.assert.strictEqual(backoffs.canSend('a 2', 10, 0), true);
});

test('answers during a backoff do not end it', (t: TestContext) => {
	const backoffs = createServerBackoffs(noJitter);
	backoffs.begin('a', 3000, 0);
	backoffs.recordAnswer('a', 1000);
	t.assert.strictEqual(backoffs.canSend('a', 0, 2999), false);
});

test('after a backoff, requests in flight double with each round of answers', (t: TestContext) => {
	const backoffs = createServerBackoffs(noJitter);
	backoffs.begin('a', 1000, 0);
	const rounds = [1, 2, 4, 8, 16, 32].map((expected) => {
		let inFlight = 0;
		while (backoffs.canSend('a', inFlight, 1000)) {
			inFlight += 1;
		}

		for (let index = 0; index < inFlight; index += 1) {
			backoffs.recordAnswer('a', 1000);
		}

		return [inFlight, expected] as const;
	});
	for (const [inFlight, expected] of rounds) {
		t.assert.strictEqual(inFlight, expected);
	}

	t.assert.deepStrictEqual(backoffs.tick(1000), ['a']);
	t.assert.strictEqual(backoffs.hasAny(), false);
});

test('a slow start without enough requests ends after its maximum duration', (t: TestContext) => {
	const backoffs = createServerBackoffs(noJitter);
	backoffs.begin('a', 1000, 0);
	backoffs.tick(1000 + maximumSlowStartMs);
	t.assert.strictEqual(
		backoffs.canSend('a', 100, 1000 + maximumSlowStartMs),
		true,
	);
});

test('a backoff during a slow start restarts the slow start', (t: TestContext) => {
	const backoffs = createServerBackoffs(noJitter);
	backoffs.begin('a', 1000, 0);
	backoffs.recordAnswer('a', 1000);
	backoffs.recordAnswer('a', 1000);
	backoffs.begin('a', 1000, 1000);
	t.assert.strictEqual(backoffs.canSend('a', 0, 1999), false);
	t.assert.strictEqual(backoffs.canSend('a', 1, 2000), false);
	t.assert.strictEqual(backoffs.canSend('a', 0, 2000), true);
});

test('the number of backoffs is bounded', (t: TestContext) => {
	const backoffs = createServerBackoffs(noJitter);
	for (let index = 0; index < maximumBackoffs + 10; index += 1) {
		backoffs.begin(`a ${index}`, 1000, 0);
	}

	t.assert.strictEqual(backoffs.activeCount(0), maximumBackoffs);
});

test('for any order of backoffs and answers, no request is sent before the latest end', (t: TestContext) => {
	const step = fc.record({
		afterMs: fc.nat(2000),
		backoffMs: fc.option(fc.nat(5000), {nil: undefined}),
	});
	fc.assert(
		fc.property(
			fc.array(step, {maxLength: 20}),
			fc.double({min: 0, max: 1, noNaN: true}),
			(steps, fraction) => {
				const backoffs = createServerBackoffs(() => fraction);
				let now = 0;
				let until = 0;
				for (const {afterMs, backoffMs} of steps) {
					now += afterMs;
					if (backoffMs === undefined) {
						backoffs.recordAnswer('a', now);
					} else {
						backoffs.begin('a', backoffMs, now);
						until = Math.max(until, now + backoffMs);
					}

					backoffs.tick(now);
					const minimumMs = Math.max(0, until - now);
					const {length} = [backoffs.remainingMs('a', now)].filter(
						(each) => each >= minimumMs && each <= minimumMs + maximumJitterMs,
					);
					t.assert.strictEqual(length, 1);
					t.assert.ok(now >= until || !backoffs.canSend('a', 0, now));
				}
			},
		),
	);
});
