import {test, type TestContext} from 'node:test';
import assert from 'node:assert/strict';
import fc from 'fast-check';
import {
	bodyBytesOf,
	maximumRetryMs,
	smallBodiesPart,
	smallBodyBytes,
	stallMs,
	type MemoryBudget,
	type Reservation,
} from '../../src/memory-budget/index.ts';
import {budgetOf} from './fixtures.ts';

const limitBytes = 1_000_000;
const longLimit = limitBytes * (1 - smallBodiesPart);

const reserved = (
	budget: MemoryBudget,
	bytes: number,
	evict: () => void = () => undefined,
): Reservation => {
	const result = budget.reserve(bytes, evict);
	if (result.kind === 'no-room') {
		throw new Error(`there is no room for ${bytes} bytes`);
	}

	return result.reservation;
};

const kindOf = (budget: MemoryBudget, bytes: number) =>
	budget.reserve(bytes, () => undefined).kind;

test('bodies are refused beyond the memory, and fit again once others are released', (t: TestContext) => {
	const budget = budgetOf();
	const first = reserved(budget, 400_000);
	reserved(budget, 300_000);
	t.assert.strictEqual(kindOf(budget, 100_000), 'no-room');
	t.assert.strictEqual(budget.refusals(), 1);
	first.release();
	first.release();
	t.assert.strictEqual(budget.reservedBytes(), 300_000);
	t.assert.strictEqual(kindOf(budget, 400_000), 'reserved');
});

// Guards against small requests that are refused because long ones hold all memory.
test('long bodies leave a part of the memory to small ones', (t: TestContext) => {
	const budget = budgetOf();
	reserved(budget, longLimit);
	t.assert.strictEqual(kindOf(budget, smallBodyBytes + 1), 'no-room');
	for (
		let taken = 0;
		taken + smallBodyBytes <= limitBytes * smallBodiesPart;
		taken += smallBodyBytes
	) {
		t.assert.strictEqual(kindOf(budget, smallBodyBytes), 'reserved');
	}

	t.assert.strictEqual(kindOf(budget, smallBodyBytes), 'no-room');
});

test('what is held for other purposes counts', (t: TestContext) => {
	let others = longLimit;
	const budget = budgetOf({otherBytes: () => others});
	reserved(budget, 1000);
	t.assert.strictEqual(kindOf(budget, 100_000), 'no-room');
	others = 0;
	t.assert.strictEqual(kindOf(budget, 100_000), 'reserved');
});

test('a body longer than the memory is read while it is the only one', (t: TestContext) => {
	const budget = budgetOf();
	const only = reserved(budget, 2 * limitBytes);
	t.assert.strictEqual(kindOf(budget, 1), 'no-room');
	only.release();
	const growing = reserved(budget, 1000);
	t.assert.strictEqual(growing.growTo(2 * limitBytes), undefined);
});

test('a reservation that cannot grow stays as it is', (t: TestContext) => {
	const budget = budgetOf();
	reserved(budget, 500_000);
	const growing = reserved(budget, 1000);
	t.assert.ok(growing.growTo(400_000)! > 0);
	t.assert.strictEqual(budget.reservedBytes(), 501_000);
	t.assert.strictEqual(growing.growTo(100_000), undefined);
	t.assert.strictEqual(budget.reservedBytes(), 600_000);
});

// Guards against callers who declare long bodies, send nothing, and so keep all others out.
test('a body that has stalled gives way, and one that is whole or makes progress does not', (t: TestContext) => {
	let now = 0;
	const budget = budgetOf({clock: () => now});
	const evicted: string[] = [];
	const evict = (name: string) => () => {
		evicted.push(name);
	};

	reserved(budget, 200_000, evict('stalled'));
	const whole = reserved(budget, 200_000, evict('whole'));
	const slow = reserved(budget, 200_000, evict('slow'));
	whole.complete();
	now = stallMs - 1;
	slow.progress();
	t.assert.strictEqual(kindOf(budget, 200_000), 'no-room');
	now += 200;
	t.assert.strictEqual(kindOf(budget, 200_000), 'reserved');
	t.assert.deepStrictEqual(evicted, ['stalled']);
	t.assert.strictEqual(budget.reservedBytes(), 600_000);
});

test('refused callers are asked to return as fast as full memory is released, one after the other', (t: TestContext) => {
	let now = 0;
	const budget = budgetOf({clock: () => now});
	const body = reserved(budget, 300_000);
	now = 400;
	body.release();
	reserved(budget, longLimit).complete();
	const waits = Array.from({length: 3}, () => {
		const result = budget.reserve(longLimit, () => undefined);
		return result.kind === 'no-room' ? Math.round(result.retryAfterMs) : 0;
	});
	t.assert.deepStrictEqual(waits, [400, 800, 1200]);
	now += 1_000_000;
	const later = budget.reserve(longLimit, () => undefined);
	t.assert.deepStrictEqual(later, {kind: 'no-room', retryAfterMs: 400});
});

test('the memory never exceeds its limit, and all of it is free at the end', () => {
	fc.assert(
		fc.property(
			fc.array(
				fc.record({
					bytes: fc.integer({min: 1, max: 400_000}),
					growTo: fc.integer({min: 0, max: 400_000}),
					releases: fc.nat({max: 9}),
				}),
				{maxLength: 60},
			),
			(steps) => {
				const budget = budgetOf();
				const open: Reservation[] = [];
				for (const {bytes, growTo, releases} of steps) {
					const result = budget.reserve(bytes, () => undefined);
					if (result.kind === 'reserved') {
						open.push(result.reservation);
						result.reservation.growTo(growTo);
					} else {
						assert.ok(result.retryAfterMs > 0);
						assert.ok(result.retryAfterMs <= maximumRetryMs);
					}

					open.at(-1 - releases)?.release();
					assert.ok(budget.reservedBytes() <= limitBytes);
				}

				for (const reservation of open) {
					reservation.release();
				}

				assert.equal(budget.reservedBytes(), 0);
			},
		),
	);
});

test("bodies may take a part of the node's memory, or of the machine's where none is set", (t: TestContext) => {
	t.assert.strictEqual(bodyBytesOf(350), 0.2 * 350 * 1024 * 1024);
	t.assert.ok(bodyBytesOf(undefined) > 0);
});
