import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {connect} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setImmediate as turn} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {
	createRequestDeferral,
	deferralLagMs,
} from '../../../src/gateway/intake/request-deferral.ts';
import {startCallerListener} from '../../../src/gateway/intake/caller-listener.ts';

const port = 8000;

const turns = async (count: number) => {
	for (let index = 0; index < count; index += 1) {
		await turn();
	}
};

test('a node in time takes a request at once, a late one two turns later or not at all', async (t: TestContext) => {
	let taken = 0;
	const take = () => {
		taken += 1;
	};

	createRequestDeferral(() => deferralLagMs - 1).schedule(take, false);
	t.assert.strictEqual(taken, 1);
	const late = createRequestDeferral(() => deferralLagMs);
	late.schedule(take, false);
	const skip = late.schedule(take, false);
	t.assert.strictEqual(taken, 1);
	skip();
	await turns(3);
	t.assert.strictEqual(taken, 2);
	createRequestDeferral(() => 0).schedule(take, true);
	t.assert.strictEqual(taken, 2);
	await turns(3);
	t.assert.strictEqual(taken, 3);
});

// The request and the close of the caller have both arrived when the node's loop comes to read them.
const takenAfterClose = async (
	lagMs: number,
	hasFirst: boolean,
): Promise<number> => {
	const host = `127.${randomInt(2, 250)}.${randomInt(1, 250)}.1`;
	const closesFirst = createRequestDeferral(() => lagMs);
	let taken = 0;
	const left = Promise.withResolvers<void>();
	const front = await startCallerListener({
		address: `${host}:${port}`,
		limits: {
			maximumHeaderBytes: 16_384,
			maximumBodyBytes: 1_048_576,
			headerTimeoutMs: 3000,
			idleTimeoutMs: 15_000,
		},
		isLeaving: () => false,
		onRequest({isFirst}) {
			const skip = closesFirst.schedule(() => {
				taken += 1;
			}, isFirst && hasFirst);
			return () => {
				skip();
				left.resolve();
			};
		},
		onUnreadable: () => undefined,
	});
	const caller = connect(port, host);
	await once(caller, 'connect');
	await turns(5);
	caller.end(
		'POST / HTTP/1.1\r\nhost: site.example\r\ncontent-length: 2\r\n\r\nhi',
	);
	const until = performance.now() + 50;
	while (performance.now() < until) {
		// The loop does not come round.
	}

	await left.promise;
	await turns(5);
	caller.destroy();
	await front.close();
	return taken;
};

test('a request whose caller has closed its connection is not taken', async (t: TestContext) => {
	t.assert.strictEqual(await takenAfterClose(deferralLagMs, false), 0);
	t.assert.strictEqual(await takenAfterClose(0, true), 0);
	// Without the turns it is taken, for the close is read after it.
	t.assert.strictEqual(await takenAfterClose(0, false), 1);
});
