import {test, type TestContext} from 'node:test';
import {limitsOf} from './fixtures.ts';

const statement = {perSecond: 10, earliest: 0, latest: 10};
// Long enough to gain a token with any share.
const laterMs = 5000;

test('a node that has not settled, or is shutting down, sends nothing to a limited server', (t: TestContext) => {
	const limits = limitsOf({canUseLimitedServers: () => false});
	limits.recordStatement('a', statement, 'answer');
	limits.tick(laterMs);
	t.assert.strictEqual(limits.canSend('a', laterMs), false);
	t.assert.strictEqual(limits.rateOf('a'), 0);
});

test('a node uses its share of a limit after it has settled and until it shuts down', (t: TestContext) => {
	let hasSettled = false;
	const limits = limitsOf({canUseLimitedServers: () => hasSettled});
	limits.recordStatement('a', statement, 'answer');
	hasSettled = true;
	t.assert.strictEqual(limits.canSend('a', laterMs), true);
	hasSettled = false;
	limits.recordSend('a', laterMs);
	limits.tick(2 * laterMs);
	t.assert.strictEqual(limits.canSend('a', 2 * laterMs), false);
});
