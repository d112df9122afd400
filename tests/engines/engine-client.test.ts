import {Buffer} from 'node:buffer';
import {setImmediate} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {createEngineClient, type BackendCall} from '../../src/engines/index.ts';
import type {ClearedRegion} from '../../src/routing/index.ts';
import {startForeignServer} from './foreign-server.ts';

const cleared = 'abuja' as unknown as ClearedRegion;
const call: BackendCall = {
	method: 'POST',
	path: '/v1/chat/completions',
	headers: {},
	body: Buffer.from('{}'),
	attemptId: 'attempt-of-ours',
	priority: 0,
	resumeFrom: 0,
	signal: AbortSignal.timeout(10_000),
};

test('an answer for another attempt is dropped, also when it has arrived whole', async (t: TestContext) => {
	const address = await startForeignServer(t);
	const client = createEngineClient((known) => known);
	t.after(client.close);
	const answers = await Promise.all(
		Array.from({length: 40}, async () => client.send(address, call, cleared)),
	);
	// What a dropped answer leaves behind shows only after the call has ended.
	await setImmediate();
	await setImmediate();
	for (const answer of answers) {
		t.assert.strictEqual(answer.isErr && answer.error.outcome, 'unknown');
	}
});
