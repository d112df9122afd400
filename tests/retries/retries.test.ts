import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createGatewayError, type Outcome} from '../../src/errors/index.ts';
import {
	createRetryBudget,
	decideRetry,
	maximumBalance,
	retriesPerRequest,
	type RetryContext,
} from '../../src/retries/index.ts';

const contextOf = (
	outcome: Outcome,
	change: Partial<RetryContext> = {},
): RetryContext => ({
	failure: {
		outcome,
		isStated: true,
		error: createGatewayError('attempt-failed', 'failed', {outcome}),
	},
	isRepeatable: true,
	hasDelivered: false,
	isResumable: true,
	attempts: 1,
	maximumAttempts: 4,
	remainingMs: 1000,
	hasBudget: true,
	...change,
});

test('a non-repeatable request is retried only with proof that it did not run', () => {
	assert.equal(
		decideRetry(contextOf('not-run', {isRepeatable: false})).kind,
		'retry',
	);
	for (const outcome of ['unknown', 'ran'] as const) {
		const decision = decideRetry(contextOf(outcome, {isRepeatable: false}));
		assert.strictEqual(decision.kind, 'give-up');
		assert.strictEqual(decision.error.kind, 'outcome-unknown');
		assert.strictEqual(decision.kind, 'give-up');
		assert.strictEqual(decision.error.outcome, outcome);
	}
});

test('a response that has begun is resumed or given up, not restarted', () => {
	assert.equal(
		decideRetry(contextOf('unknown', {hasDelivered: true})).kind,
		'resume',
	);
	const broken = decideRetry(
		contextOf('unknown', {hasDelivered: true, isResumable: false}),
	);
	assert.strictEqual(broken.kind, 'give-up');
	assert.strictEqual(broken.error.kind, 'stream-broken');
});

test('budget, attempts and deadline each end retries', () => {
	assert.equal(
		decideRetry(contextOf('not-run', {hasBudget: false})).kind,
		'give-up',
	);
	assert.equal(
		decideRetry(contextOf('not-run', {attempts: 4})).kind,
		'give-up',
	);
	const late = decideRetry(contextOf('not-run', {remainingMs: 1}));
	assert.strictEqual(late.kind, 'give-up');
	assert.strictEqual(late.error.kind, 'deadline-exceeded');
	assert.strictEqual(late.error.outcome, 'not-run');
});

test('in any state, a non-repeatable request that may have run is never retried', () => {
	fc.assert(
		fc.property(
			fc.record({
				hasDelivered: fc.boolean(),
				isResumable: fc.boolean(),
				attempts: fc.nat({max: 5}),
				remainingMs: fc.integer({min: -100, max: 1000}),
				hasBudget: fc.boolean(),
			}),
			fc.constantFrom<Outcome>('unknown', 'ran'),
			(change, outcome) => {
				assert.equal(
					decideRetry(contextOf(outcome, {...change, isRepeatable: false}))
						.kind,
					'give-up',
				);
			},
		),
	);
});

test('over any period, retries are at most the initial balance and a fixed fraction of the requests', () => {
	fc.assert(
		fc.property(fc.array(fc.boolean(), {maxLength: 2000}), (steps) => {
			const budget = createRetryBudget();
			let requests = 0;
			let retries = 0;
			for (const isRequest of steps) {
				if (isRequest) {
					requests += 1;
					budget.earn();
				} else if (budget.hasRetry()) {
					retries += 1;
					budget.spend();
				}
			}

			assert.ok(retries <= maximumBalance + requests * retriesPerRequest);
		}),
	);
});
