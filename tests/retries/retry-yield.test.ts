import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createRetryYield,
	retrySampleInterval,
} from '../../src/retries/index.ts';

test('requests that fail on every server are soon only sampled for retries', () => {
	const retryYield = createRetryYield();
	let retried = 0;
	for (let index = 0; index < 100; index += 1) {
		if (retryYield.isWorthwhile('route')) {
			retried += 1;
			retryYield.record('route', false);
		}
	}

	assert.ok(retried < 10 + 100 / retrySampleInterval);
	assert.ok(retried > 5);
});

test('a few successful retries enable retries again', () => {
	const retryYield = createRetryYield();
	for (let index = 0; index < 50; index += 1) {
		retryYield.record('route', false);
	}

	retryYield.record('route', true);
	retryYield.record('route', true);
	assert.ok(retryYield.isWorthwhile('route'));
	assert.ok(retryYield.isWorthwhile('another'));
});
