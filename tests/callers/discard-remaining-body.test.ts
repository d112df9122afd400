import {PassThrough} from 'node:stream';
import {setImmediate} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {
	discardTimeoutMs,
	discardRemainingBody,
} from '../../src/callers/discard-remaining-body.ts';

test('the remaining body is read until it ends', async (t: TestContext) => {
	const request = new PassThrough();
	let isOver = false;
	const discarding = (async () => {
		await discardRemainingBody(request);
		isOver = true;
	})();
	request.write('x'.repeat(100_000));
	await setImmediate();
	t.assert.strictEqual(isOver, false);
	request.end();
	await discarding;
	t.assert.strictEqual(request.readableLength, 0);
});

test('the wait ends when the sender disconnects and when the time limit expires', async (t: TestContext) => {
	t.mock.timers.enable({apis: ['setTimeout']});
	const broken = new PassThrough();
	const discarding = discardRemainingBody(broken);
	broken.destroy(new Error('reset'));
	await discarding;

	const endless = discardRemainingBody(new PassThrough());
	t.mock.timers.tick(discardTimeoutMs);
	await endless;
	t.assert.strictEqual(broken.destroyed, true);
});
