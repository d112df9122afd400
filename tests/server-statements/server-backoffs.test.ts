import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {
	createServerBackoffs,
	maximumSlowStartMs,
	maximumJitterMs,
	maximumBackoffs,
} from '../../src/server-statements/index.ts';

const noSpread = () => 0;

test('a shorter rest that is asked for later does not end a longer one', (t: TestContext) => {
	const rests = createServerBackoffs(noSpread);
	rests.begin('a', 3000, 0);
	rests.begin('a', 500, 100);
	t.assert.strictEqual(rests.remainingMs('a', 1000), 2000);
});

test('a rest belongs to one life of one server', (t: TestContext) => {
	const rests = createServerBackoffs(noSpread);
	rests.begin('a 1', 3000, 0);
	t.assert.strictEqual(rests.remainingMs('a 2', 0), 0);
	t.assert.strictEqual(rests.canSend('a 2', 10, 0), true);
});

test('answers during a rest do not end it', (t: TestContext) => {
	const rests = createServerBackoffs(noSpread);
	rests.begin('a', 3000, 0);
	rests.recordAnswer('a', 1000);
	t.assert.strictEqual(rests.canSend('a', 0, 2999), false);
});

test('after a rest, requests under way double with each round of answers', (t: TestContext) => {
	const rests = createServerBackoffs(noSpread);
	rests.begin('a', 1000, 0);
	const rounds = [1, 2, 4, 8, 16, 32].map((expected) => {
		let inFlight = 0;
		while (rests.canSend('a', inFlight, 1000)) {
			inFlight += 1;
		}

		for (let index = 0; index < inFlight; index += 1) {
			rests.recordAnswer('a', 1000);
		}

		return [inFlight, expected] as const;
	});
	for (const [inFlight, expected] of rounds) {
		t.assert.strictEqual(inFlight, expected);
	}

	t.assert.deepStrictEqual(rests.tick(1000), ['a']);
	t.assert.strictEqual(rests.hasAny(), false);
});

test('a return that too few requests complete ends by itself', (t: TestContext) => {
	const rests = createServerBackoffs(noSpread);
	rests.begin('a', 1000, 0);
	rests.tick(1000 + maximumSlowStartMs);
	t.assert.strictEqual(
		rests.canSend('a', 100, 1000 + maximumSlowStartMs),
		true,
	);
});

test('a server that asks for another rest on its return begins anew', (t: TestContext) => {
	const rests = createServerBackoffs(noSpread);
	rests.begin('a', 1000, 0);
	rests.recordAnswer('a', 1000);
	rests.recordAnswer('a', 1000);
	rests.begin('a', 1000, 1000);
	t.assert.strictEqual(rests.canSend('a', 0, 1999), false);
	t.assert.strictEqual(rests.canSend('a', 1, 2000), false);
	t.assert.strictEqual(rests.canSend('a', 0, 2000), true);
});

test('rests are bounded', (t: TestContext) => {
	const rests = createServerBackoffs(noSpread);
	for (let index = 0; index < maximumBackoffs + 10; index += 1) {
		rests.begin(`a ${index}`, 1000, 0);
	}

	t.assert.strictEqual(rests.activeCount(0), maximumBackoffs);
});

test('whatever is asked for and answered in any order, no request goes out before the latest end', (t: TestContext) => {
	const step = fc.record({
		afterMs: fc.nat(2000),
		restMs: fc.option(fc.nat(5000), {nil: undefined}),
	});
	fc.assert(
		fc.property(
			fc.array(step, {maxLength: 20}),
			fc.double({min: 0, max: 1, noNaN: true}),
			(steps, draw) => {
				const rests = createServerBackoffs(() => draw);
				let now = 0;
				let until = 0;
				for (const {afterMs, restMs} of steps) {
					now += afterMs;
					if (restMs === undefined) {
						rests.recordAnswer('a', now);
					} else {
						rests.begin('a', restMs, now);
						until = Math.max(until, now + restMs);
					}

					rests.tick(now);
					const leftMs = Math.max(0, until - now);
					const {length} = [rests.remainingMs('a', now)].filter(
						(each) => each >= leftMs && each <= leftMs + maximumJitterMs,
					);
					t.assert.strictEqual(length, 1);
					t.assert.ok(now >= until || !rests.canSend('a', 0, now));
				}
			},
		),
	);
});
