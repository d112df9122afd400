import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createWindowRetryBudget} from '../../src/retries/index.ts';

const bound = {ratio: 0.2, windowMs: 10_000, slack: 58};

test('for any traffic, retries of all nodes in any window stay within ratio and slack', () => {
	const step = fc.record({
		node: fc.integer({min: 0, max: 4}),
		afterMs: fc.integer({min: 0, max: 400}),
		requests: fc.integer({min: 0, max: 5}),
		retries: fc.integer({min: 0, max: 10}),
	});
	fc.assert(
		fc.property(fc.array(step, {maxLength: 200}), (steps) => {
			const budgets = Array.from({length: 5}, () =>
				createWindowRetryBudget(bound),
			);
			const requests: number[] = [];
			const retries: number[] = [];
			let now = 0;
			for (const {node, afterMs, requests: count, retries: wanted} of steps) {
				now += afterMs;
				for (let index = 0; index < count; index += 1) {
					budgets[node]!.recordRequest('s', now);
					requests.push(now);
				}

				for (let index = 0; index < wanted; index += 1) {
					if (budgets[node]!.tryTake('s', 5, now)) {
						retries.push(now);
					}
				}
			}

			for (const end of retries) {
				const isInWindow = (at: number) => at <= end && at > end - 10_000;
				const used = retries.filter((at) => isInWindow(at)).length;
				// Requests that left this window recently may have counted when an earlier retry was allowed.
				const earned = requests.filter(
					(at) => at <= end && at > end - 11_000,
				).length;
				assert.ok(used <= 0.2 * earned + 58);
			}
		}),
	);
});

test('the nodes share the slack', () => {
	const budget = createWindowRetryBudget(bound);
	let taken = 0;
	while (budget.tryTake('s', 9, 0)) {
		taken += 1;
	}

	assert.ok(taken >= 1);
	assert.ok(taken * 9 <= 58);
});
