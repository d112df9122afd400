import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {
	readRequestBody,
	type RequestBody,
} from '../../../src/gateway/intake/read-request-body.ts';
import {closeServer} from '../../../src/shared/index.ts';
import {smallBodyBytes} from '../../../src/memory-budget/index.ts';
import {budgetOf} from '../../memory-budget/fixtures.ts';
import {waitUntil} from '../../until.ts';

const maximumBytes = 300_000;
const limitBytes = 1_000_000;

// A server that reads bodies and answers each at once.
const setUp = async (t: TestContext, budget = budgetOf({limitBytes})) => {
	const bodies: RequestBody[] = [];
	const server = createServer((request, response) => {
		readRequestBody(
			request,
			response,
			{maximumBytes, memory: budget},
			(body) => {
				bodies.push(body);
				response.writeHead(body.kind === 'whole' ? 200 : 503);
				response.end(body.kind);
			},
		);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const port = typeof address === 'object' ? address?.port : undefined;
	t.after(async () => closeServer(server));
	const open = (): Socket => {
		const socket = connect(port!, '127.0.0.1');
		t.after(() => socket.destroy());
		return socket;
	};

	return {bodies, budget, open};
};

const headOf = (framing: string) =>
	`POST / HTTP/1.1\r\nhost: x\r\n${framing}\r\n\r\n`;

const chunkOf = (bytes: number) =>
	`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;

test('a declared length is reserved before the body arrives, and released with the response', async (t: TestContext) => {
	const {bodies, budget, open} = await setUp(t);
	const socket = open();
	socket.write(headOf('content-length: 200000'));
	await waitUntil(() => budget.reservedBytes() === 200_000, 100);
	t.assert.strictEqual(budget.reservedBytes(), 200_000);
	socket.write('x'.repeat(200_000));
	await waitUntil(
		() => bodies.length === 1 && budget.reservedBytes() === 0,
		100,
	);
	t.assert.deepStrictEqual(bodies, [
		{kind: 'whole', bytes: Buffer.alloc(200_000, 'x')},
	]);
	t.assert.strictEqual(budget.reservedBytes(), 0);
});

// Guards against nodes that read long bodies into memory which they do not have.
test('a body that does not fit is refused before it has arrived, and its connection serves the next request', async (t: TestContext) => {
	const {bodies, budget, open} = await setUp(t);
	budget.reserve(700_000, () => undefined);
	const socket = open();
	let received = '';
	socket.on('data', (chunk) => {
		received += chunk.toString();
	});
	socket.write(headOf('content-length: 200000'));
	await waitUntil(() => bodies.length === 1, 100);
	t.assert.strictEqual(bodies[0]?.kind, 'no-room');
	socket.write(`${'x'.repeat(200_000)}${headOf('content-length: 3')}abc`);
	await waitUntil(() => received.includes('whole'), 100);
	t.assert.deepStrictEqual(bodies[1], {
		kind: 'whole',
		bytes: Buffer.from('abc'),
	});
	t.assert.strictEqual(budget.reservedBytes(), 700_000);
});

test('a body without a declared length reserves the maximum, for its pieces and the whole, once it is longer than a small one', async (t: TestContext) => {
	const {bodies, budget, open} = await setUp(t);
	const socket = open();
	socket.write(headOf('transfer-encoding: chunked'));
	socket.write(chunkOf(1000));
	await waitUntil(() => budget.reservedBytes() > 0, 100);
	t.assert.strictEqual(budget.reservedBytes(), smallBodyBytes);
	socket.write(chunkOf(100_000));
	await waitUntil(() => budget.reservedBytes() > smallBodyBytes, 100);
	t.assert.strictEqual(budget.reservedBytes(), 2 * maximumBytes);
	socket.write('0\r\n\r\n');
	await waitUntil(() => bodies.length === 1, 100);
	t.assert.deepStrictEqual(bodies, [
		{kind: 'whole', bytes: Buffer.alloc(101_000, 'x')},
	]);
});

test('a body without a declared length is refused once it does not fit', async (t: TestContext) => {
	const {bodies, budget, open} = await setUp(t);
	budget.reserve(500_000, () => undefined);
	const socket = open();
	socket.write(headOf('transfer-encoding: chunked'));
	socket.write(chunkOf(100_000));
	await waitUntil(() => bodies.length === 1, 100);
	t.assert.strictEqual(bodies[0]?.kind, 'no-room');
	t.assert.strictEqual(budget.reservedBytes(), 500_000);
});

test('the memory of a body whose caller leaves is released', async (t: TestContext) => {
	const {budget, open} = await setUp(t);
	const socket = open();
	socket.write(`${headOf('content-length: 200000')}xxx`);
	await waitUntil(() => budget.reservedBytes() > 0, 100);
	socket.destroy();
	await waitUntil(() => budget.reservedBytes() === 0, 100);
	t.assert.strictEqual(budget.reservedBytes(), 0);
});

test('a request without a body reserves nothing', async (t: TestContext) => {
	const {bodies, budget, open} = await setUp(t);
	budget.reserve(limitBytes, () => undefined);
	open().write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
	await waitUntil(() => bodies.length === 1, 100);
	t.assert.deepStrictEqual(bodies, [{kind: 'whole', bytes: undefined}]);
});

test('a body beyond the maximum length is too large', async (t: TestContext) => {
	const {bodies, open} = await setUp(t);
	open().write(
		`${headOf(`content-length: ${maximumBytes + 1}`)}${'x'.repeat(maximumBytes + 1)}`,
	);
	await waitUntil(() => bodies.length === 1, 100);
	t.assert.deepStrictEqual(bodies, [{kind: 'too-large'}]);
});

// Guards against callers who take a node's memory by declaring a length that they never send.
test('a declared length beyond the maximum reserves and allocates the maximum alone', async (t: TestContext) => {
	const {budget, open} = await setUp(t);
	const socket = open();
	socket.write(`${headOf(`content-length: ${2 ** 50}`)}${'x'.repeat(1000)}`);
	await waitUntil(() => budget.reservedBytes() > 0, 100);
	socket.write('x'.repeat(1000));
	await waitUntil(() => socket.bytesWritten > 2000, 100);
	await sleep(50);
	t.assert.strictEqual(budget.reservedBytes(), maximumBytes);
	socket.destroy();
	await waitUntil(() => budget.reservedBytes() === 0, 100);
	t.assert.strictEqual(budget.reservedBytes(), 0);
});
