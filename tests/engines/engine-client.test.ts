import {Buffer} from 'node:buffer';
import {setImmediate} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {collectBody} from '../../src/requests/attempt-answers.ts';
import {createEngineClient, type BackendCall} from '../../src/engines/index.ts';
import {startRawConnections, type RawAnswer} from '../raw-connections.ts';
import type {ClearedRegion} from '../../src/routing/index.ts';
import {startRawServer} from '../gateway/broken-server.ts';
import {startMismatchedServer} from './mismatched-server.ts';

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

test('a complete answer to another attempt is discarded', async (t: TestContext) => {
	const address = await startMismatchedServer(t);
	const client = createEngineClient((known) => known);
	t.after(client.close);
	const answers = await Promise.all(
		Array.from({length: 40}, async () => client.send(address, call, cleared)),
	);
	// An error from discarding an answer would surface only after the call has ended.
	await setImmediate();
	await setImmediate();
	for (const answer of answers) {
		t.assert.strictEqual(answer.isErr && answer.error.outcome, 'unknown');
	}
});

test('a call that may no longer start when its connection is established is withdrawn before it is sent', async (t: TestContext) => {
	const address = await startMismatchedServer(t);
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

test('onHead is called for each answer, also for an answer to another attempt', async (t: TestContext) => {
	const address = await startMismatchedServer(t);
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

test('an answer without length whose connection is reset is not complete', async (t: TestContext) => {
	const head = `HTTP/1.1 200 OK\r\nx-attempt-id: ${call.attemptId}\r\n\r\n`;
	const {address} = await startRawServer(t, () => ({
		bytes: Buffer.from(`${head}{"text":`),
		isReset: true,
	}));
	const client = createEngineClient((known) => known);
	t.after(client.close);
	const answer = await client.send(address, call, cleared);
	t.assert.ok(answer.isOk);
	await t.assert.rejects(async () => collectBody(answer.value.body), {
		code: 'ERR_CONNECTION_RESET_BY_PEER',
	});
});

test('a response of an engine that ends within its head is a failure that may have run, on fresh and kept connections', async (t: TestContext) => {
	const head = (length: string) =>
		`HTTP/1.1 200 OK\r\nx-attempt-id: ${call.attemptId}\r\n${length}\r\n\r\n`;
	const heads = [
		head('content-length: 0'),
		head('transfer-encoding: chunked'),
		head('connection: close'),
	];
	let answer: RawAnswer = {packets: [], end: 'close'};
	let tornOnKept = 0;
	const server = await startRawConnections(t, ({earlier}) => {
		tornOnKept += earlier > 0 ? 1 : 0;
		return answer;
	});
	const client = createEngineClient((known) => known);
	t.after(client.close);
	for (const torn of heads) {
		for (let length = 0; length < torn.length; length += 1) {
			for (const end of ['close', 'reset'] as const) {
				answer = {packets: [heads[0]!], end: 'keep'};
				const whole = await client.send(server.address, call, cleared);
				t.assert.ok(whole.isOk);
				await whole.value.body[Symbol.asyncIterator]().next();
				answer = {packets: [torn.slice(0, length)], end};
				for (const connection of ['kept', 'fresh']) {
					const result = await client.send(server.address, call, cleared);
					t.assert.ok(result.isErr, `${connection}, ${length} bytes, ${end}`);
					t.assert.strictEqual(result.error.outcome, 'unknown');
				}
			}
		}
	}

	t.assert.ok(tornOnKept > heads[0]!.length);
});
