import {PassThrough} from 'node:stream';
import {setImmediate} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {
	discardMs,
	discardRemainingBody,
} from '../../src/callers/discard-remaining-body.ts';

test('the rest is read until it ends', async (t: TestContext) => {
	const request = new PassThrough();
	let isOver = false;
	const rest = (async () => {
		await discardRemainingBody(request);
		isOver = true;
	})();
	request.write('x'.repeat(100_000));
	await setImmediate();
	t.assert.strictEqual(isOver, false);
	request.end();
	await rest;
	t.assert.strictEqual(request.readableLength, 0);
});

test('a sender that breaks off or never ends is not waited for', async (t: TestContext) => {
	t.mock.timers.enable({apis: ['setTimeout']});
	const broken = new PassThrough();
	const rest = discardRemainingBody(broken);
	broken.destroy(new Error('reset'));
	await rest;

	const endless = discardRemainingBody(new PassThrough());
	t.mock.timers.tick(discardMs);
	await endless;
	t.assert.strictEqual(broken.destroyed, true);
});
