import {test, type TestContext} from 'node:test';
import {limitsOf} from './fixtures.ts';

const named = {perSecond: 10, earliest: 0, latest: 10};
// Long enough for a token at any share.
const laterMs = 5000;

test('a node that has not settled, or leaves, sends nothing to a limited server', (t: TestContext) => {
	const limits = limitsOf({canUseLimitedServers: () => false});
	limits.recordStatement('a', named, 'answer');
	limits.tick(laterMs);
	t.assert.strictEqual(limits.canSend('a', laterMs), false);
	t.assert.strictEqual(limits.rateOf('a'), 0);
});

test('a node uses its share of a limit once it has settled, and no longer when it leaves', (t: TestContext) => {
	let hasSettled = false;
	const limits = limitsOf({canUseLimitedServers: () => hasSettled});
	limits.recordStatement('a', named, 'answer');
	hasSettled = true;
	t.assert.strictEqual(limits.canSend('a', laterMs), true);
	hasSettled = false;
	limits.recordSend('a', laterMs);
	limits.tick(2 * laterMs);
	t.assert.strictEqual(limits.canSend('a', 2 * laterMs), false);
});
