import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setImmediate as turn} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {
	createRequestDeferral,
	deferralLagMs,
	maximumSocketWaitMs,
	socketWaitOf,
} from '../../../src/gateway/intake/request-deferral.ts';
import {bindOnce} from '../../../src/listening/index.ts';
import {startCallerListener} from '../../../src/gateway/intake/caller-listener.ts';
import {createCallerConnections} from '../../../src/gateway/intake/caller-connections.ts';
import {silentLogger} from '../../../src/logging/index.ts';
import {budgetOf} from '../../memory-budget/fixtures.ts';
import {createOpenResponses} from '../../../src/gateway/intake/open-responses.ts';

const port = 8000;

const turns = async (count: number) => {
	for (let index = 0; index < count; index += 1) {
		await turn();
	}
};

test('a request is handled at once without loop delay; with it, two turns later or not at all', async (t: TestContext) => {
	let handled = 0;
	const handle = () => {
		handled += 1;
	};

	createRequestDeferral(() => deferralLagMs - 1).schedule(handle, false);
	t.assert.strictEqual(handled, 1);
	const lateDeferral = createRequestDeferral(() => deferralLagMs);
	lateDeferral.schedule(handle, false);
	const cancel = lateDeferral.schedule(handle, false);
	t.assert.strictEqual(handled, 1);
	cancel();
	await turns(3);
	t.assert.strictEqual(handled, 2);
	createRequestDeferral(() => 0).schedule(handle, true);
	t.assert.strictEqual(handled, 2);
	await turns(3);
	t.assert.strictEqual(handled, 3);
});

// Returns how many requests are handled when the request and the close of its caller are both pending before the event
// loop reads them.
const handledAfterClose = async (
	lagMs: number,
	hasFirst: boolean,
): Promise<number> => {
	const host = `127.${randomInt(2, 250)}.${randomInt(1, 250)}.1`;
	const deferral = createRequestDeferral(() => lagMs);
	let handled = 0;
	const left = Promise.withResolvers<void>();
	const listener = await startCallerListener({
		openResponses: createOpenResponses(),
		memory: budgetOf(),
		connections: createCallerConnections<Socket>(100, silentLogger),
		bind: bindOnce,
		address: `${host}:${port}`,
		limits: {
			maximumHeaderBytes: 16_384,
			maximumBodyBytes: 1_048_576,
			headerTimeoutMs: 3000,
			idleTimeoutMs: 15_000,
		},
		isLeaving: () => false,
		onRequest({isFirst}) {
			const cancel = deferral.schedule(() => {
				handled += 1;
			}, isFirst && hasFirst);
			return () => {
				cancel();
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
		// Block the event loop.
	}

	await left.promise;
	await turns(5);
	caller.destroy();
	await listener.close();
	return handled;
};

test('a request whose caller has closed its connection is not handled', async (t: TestContext) => {
	t.assert.strictEqual(await handledAfterClose(deferralLagMs, false), 0);
	t.assert.strictEqual(await handledAfterClose(0, true), 0);
	// Without the deferral it is handled, because the close is read after it.
	t.assert.strictEqual(await handledAfterClose(0, false), 1);
});

test('a request that is read by a late loop has waited for half of the delay, and at most for a second', (t: TestContext) => {
	t.assert.strictEqual(socketWaitOf(Infinity), 0);
	t.assert.strictEqual(socketWaitOf(deferralLagMs - 1), 0);
	t.assert.strictEqual(socketWaitOf(400), 200);
	t.assert.strictEqual(socketWaitOf(60_000), maximumSocketWaitMs);
});
