import {randomInt} from 'node:crypto';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {productHeaders} from '../../src/gateway/index.ts';
import {startSoakServer} from '../../soak/soak-server.ts';
import {createStandInRegistry} from '../../stand-ins/registry.ts';
import {waitUntil} from '../until.ts';

// Guards against requests that count as cut too early because two silences kept them waiting.
test('how long a request has been without a byte counts from its receipt, also if it was received in an earlier silence', async (t: TestContext) => {
	const address = `127.${randomInt(2, 250)}.${randomInt(1, 250)}.1:8002`;
	const server = await startSoakServer(createStandInRegistry(), {
		firstId: 'engine-0',
		address,
		availabilityZone: 'north',
		firstVersion: 1,
	});
	t.after(server.close);
	server.setBehaviour('hang');
	server.setSilent(true);
	const controller = new AbortController();
	const response = request(`http://${address}/once/1`, {
		method: 'POST',
		body: 'work',
		headers: {
			[productHeaders.requestId]: '0-1',
			[productHeaders.expectedServer]: 'engine-0',
		},
		signal: controller.signal,
	});
	await waitUntil(() => server.received.has('0-1'), 100);
	await sleep(300);
	const releasedAt = performance.now();
	server.setSilent(false);
	server.setSilent(true);
	controller.abort();
	await t.assert.rejects(response, {name: 'AbortError'});
	await waitUntil(() => server.events[0]?.cutAfterMs !== undefined, 100);
	const {cutAfterMs = 0, endedAt} = server.events[0]!;
	t.assert.ok(cutAfterMs > endedAt - releasedAt);
});
