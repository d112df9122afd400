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
	canBegin: () => true,
	onHead: () => undefined,
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

test('a call that may not begin any more when its connection is up is withdrawn unsent', async (t: TestContext) => {
	const address = await startForeignServer(t);
	const client = createEngineClient((known) => known);
	t.after(client.close);
	let heads = 0;
	const sent = client.send(
		address,
		{
			...call,
			canBegin: () => false,
			onHead() {
				heads += 1;
			},
		},
		cleared,
	);
	const answer = await sent;
	t.assert.ok(answer.isErr);
	t.assert.deepStrictEqual(
		[answer.error.outcome, answer.error.isWithdrawn, heads],
		['not-run', true, 0],
	);
});

test('the head of each answer is told, also of one for another attempt', async (t: TestContext) => {
	const address = await startForeignServer(t);
	const client = createEngineClient((known) => known);
	t.after(client.close);
	const statuses: number[] = [];
	await client.send(
		address,
		{
			...call,
			onHead({status}) {
				statuses.push(status);
			},
		},
		cleared,
	);
	t.assert.deepStrictEqual(statuses, [200]);
});
