// Guards against a large configuration that no node ever reads over a slow link, because the time limit counted for all of it.
import {Buffer} from 'node:buffer';
import {test, type TestContext} from 'node:test';
import {
	createIdleTimeout,
	maximumResponseMs,
	readWithIdleTimeout,
} from '../../src/shared/index.ts';

test('a response that arrives slowly but steadily is not aborted, one that stops is', (t: TestContext) => {
	t.mock.timers.enable({apis: ['setTimeout']});
	const timeout = createIdleTimeout(2000, 700);
	t.mock.timers.tick(1999);
	for (let part = 0; part < 6; part += 1) {
		timeout.extend();
		t.mock.timers.tick(699);
	}

	t.assert.ok(!timeout.signal.aborted);
	t.mock.timers.tick(1);
	t.assert.ok(timeout.signal.aborted);
});

test('a response that never begins is aborted, and a cleared limit aborts nothing', (t: TestContext) => {
	t.mock.timers.enable({apis: ['setTimeout']});
	const late = createIdleTimeout(2000, 700);
	const ended = createIdleTimeout(2000, 700);
	ended.clear();
	t.mock.timers.tick(2000);
	t.assert.ok(late.signal.aborted);
	t.mock.timers.tick(60_000);
	t.assert.ok(!ended.signal.aborted);
});

test('a response that trickles on is aborted in the end', (t: TestContext) => {
	t.mock.timers.enable({apis: ['setTimeout']});
	const timeout = createIdleTimeout(1000, 700);
	for (let part = 0; part * 500 < 1000 + maximumResponseMs; part += 1) {
		timeout.extend();
		t.mock.timers.tick(500);
	}

	t.assert.ok(timeout.signal.aborted);
});

test('a body is read whole', async (t: TestContext) => {
	const timeout = createIdleTimeout(1000, 1000);
	const parts = async function* () {
		yield Buffer.from('first ');
		yield Buffer.from('second');
	};

	const bytes = await readWithIdleTimeout(parts(), timeout);
	timeout.clear();
	t.assert.strictEqual(bytes.toString('utf8'), 'first second');
});
