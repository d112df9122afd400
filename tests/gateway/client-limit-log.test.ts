import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createClientLimitLog,
	unlimitedAfterMs,
} from '../../src/gateway/client-limit-log.ts';

test('one line reports that an account is limited, and one that it is no longer', () => {
	const lines: Array<readonly [string, Readonly<Record<string, unknown>>]> = [];
	const write = (facts: Readonly<Record<string, unknown>>, message: string) => {
		lines.push([message, facts]);
	};

	const log = createClientLimitLog(
		{debug: write, info: write, warn: write, error: write},
		() => ({
			admissionFraction: 0.25,
			usage: {requested: 400, admitted: 900},
			ageMs: 120.4,
		}),
	);
	log.record('account', {kind: 'admitted'}, 0);
	for (let at = 100; at < 1000; at += 10) {
		log.record('account', {kind: 'limited', retryAfterSeconds: 1}, at);
		log.tick(at);
	}

	log.tick(990 + unlimitedAfterMs);
	assert.equal(lines.length, 1);
	log.tick(991 + unlimitedAfterMs);
	assert.deepEqual(lines, [
		[
			'client account is limited',
			{
				client: 'account',
				part: 0.25,
				askedPerSecond: 400,
				passedInWindow: 900,
				totalsAgeMs: 120,
			},
		],
		[
			'client account is not limited any more',
			{client: 'account', refused: 90, limitedMs: 890},
		],
	]);
});
