import type {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {
	createUpstreamClient,
	peerConnectTimeoutMs,
	type UpstreamCall,
	type UpstreamFailure,
	type UpstreamHead,
} from '../../src/backends/index.ts';
import {waitUntil} from '../until.ts';

type CallResult = {
	readonly head: UpstreamHead | undefined;
	readonly body: string;
	readonly end: 'ended' | 'failed';
	readonly wasSent: boolean;
	readonly isUnsendable?: boolean;
};

// Starts a server that answers each request with the bytes that the test provides.
const startServer = async (
	context: TestContext,
	answer: (socket: Socket, count: number) => void,
): Promise<string> => {
	let count = 0;
	const sockets = new Set<Socket>();
	const server = createServer((socket) => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', () => {
			count += 1;
			answer(socket, count);
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const callOf = (address: string): UpstreamCall => ({
	key: address,
	address,
	maximumConnections: 1,
	connectTimeoutMs: peerConnectTimeoutMs,
	method: 'GET',
	target: '/',
	headers: ['host', 'x'],
	body: undefined,
});

const ask = async (
	client: ReturnType<typeof createUpstreamClient>,
	address: string,
	change: Partial<UpstreamCall> = {},
): Promise<CallResult> =>
	new Promise((resolve) => {
		let head: UpstreamHead | undefined;
		let body = '';
		client.call(
			{...callOf(address), ...change},
			{
				onHead(given) {
					head = given;
				},
				onData(chunk) {
					body += chunk.toString();
					return true;
				},
				onEnd() {
					resolve({head, body, end: 'ended', wasSent: true});
				},
				onFailure({wasSent, isUnsendable}) {
					resolve({head, body, end: 'failed', wasSent, isUnsendable});
				},
			},
		);
	});

const setUp = (context: TestContext) => {
	const client = createUpstreamClient();
	context.after(async () => client.close());
	return client;
};

test('a response with a length is received completely, with its headers', async (t: TestContext) => {
	const client = setUp(t);
	const address = await startServer(t, (socket) => {
		socket.write('HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\nhi');
	});
	const seen = await ask(client, address);
	t.assert.deepStrictEqual([seen.end, seen.body], ['ended', 'hi']);
	t.assert.strictEqual(seen.head?.header('x-a'), 'b');
	t.assert.strictEqual(seen.head?.rawHeaders.includes('X-A'), true);
});

test('a response without a length is complete if the connection ends, and fails if it is reset', async (t: TestContext) => {
	const client = setUp(t);
	const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
	const ended = await startServer(t, (socket) => {
		socket.end(`${head}whole`);
	});
	const reset = await startServer(t, (socket) => {
		socket.write(`${head}half`, () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 20);
		});
	});
	t.assert.strictEqual((await ask(client, ended)).end, 'ended');
	t.assert.strictEqual((await ask(client, reset)).end, 'failed');
});

test('a chunked response without its last chunk fails', async (t: TestContext) => {
	const client = setUp(t);
	const address = await startServer(t, (socket) => {
		socket.end(
			'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n',
		);
	});
	t.assert.strictEqual((await ask(client, address)).end, 'failed');
});

test('an invalid response fails the call as sent', async (t: TestContext) => {
	const client = setUp(t);
	const address = await startServer(t, (socket) => {
		socket.end('nonsense\r\n\r\n');
	});
	const seen = await ask(client, address);
	t.assert.deepStrictEqual([seen.end, seen.wasSent], ['failed', true]);
});

test('a failed connection proves that nothing was sent', async (t: TestContext) => {
	const client = setUp(t);
	const address = await startServer(t, () => undefined);
	const [host] = address.split(':', 1);
	const seen = await ask(client, `${host}:1`);
	t.assert.deepStrictEqual(
		[seen.end, seen.wasSent, seen.isUnsendable],
		['failed', false, false],
	);
});

const unsendable: ReadonlyArray<
	readonly [name: string, change: Partial<UpstreamCall>]
> = [
	['two hosts', {headers: ['host', 'x', 'host', 'y']}],
	['a header that is not Latin-1', {headers: ['host', 'x', 'a', 'ιστορικό']}],
	['a path with a space', {target: '/a b'}],
	['a path without a slash', {target: 'health'}],
	['a method that is no token', {method: 'GET /'}],
];

// Guards against sound servers and nodes that seem unreachable because of what a caller or an operator chose.
for (const [name, change] of unsendable) {
	test(`a call with ${name} fails as one that no receiver could be sent`, async (t: TestContext) => {
		const client = setUp(t);
		const address = await startServer(t, () => undefined);
		const seen = await ask(client, address, change);
		t.assert.deepStrictEqual(
			[seen.end, seen.wasSent, seen.isUnsendable],
			['failed', false, true],
		);
	});
}

test('an aborted call closes its connection and emits no further events', async (t: TestContext) => {
	const client = setUp(t);
	const closed = Promise.withResolvers<undefined>();
	const address = await startServer(t, (socket) => {
		socket.on('close', () => {
			closed.resolve(undefined);
		});
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf');
	});
	let eventCount = 0;
	const call = client.call(callOf(address), {
		onHead() {
			setImmediate(() => {
				call.abort();
			});
		},
		onData: () => true,
		onEnd() {
			eventCount += 1;
		},
		onFailure() {
			eventCount += 1;
		},
	});
	await closed.promise;
	t.assert.strictEqual(eventCount, 0);
});

test('data is paused while the receiver is slow', async (t: TestContext) => {
	const client = setUp(t);
	const address = await startServer(t, (socket) => {
		socket.write(
			`HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n${'x'.repeat(200_000)}`,
		);
	});
	let size = 0;
	await new Promise<void>((resolve, reject) => {
		const call = client.call(callOf(address), {
			onHead: () => undefined,
			onData(chunk: Buffer) {
				size += chunk.length;
				setImmediate(call.resume);
				return false;
			},
			onEnd: resolve,
			onFailure({reason}) {
				reject(new Error(reason));
			},
		});
	});
	t.assert.strictEqual(size, 200_000);
});

test('a connection is idle only after a response, not before the first call or during a call', async (t: TestContext) => {
	const client = setUp(t);
	const waiting: Socket[] = [];
	const address = await startServer(t, (socket, count) => {
		if (count === 1) {
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi');
		} else {
			waiting.push(socket);
		}
	});
	t.assert.strictEqual(client.hasIdleConnection(address), false);
	const isIdle = () => client.hasIdleConnection(address);
	await ask(client, address);
	await waitUntil(isIdle);
	t.assert.strictEqual(isIdle(), true);
	const second = ask(client, address);
	t.assert.strictEqual(client.hasIdleConnection(address), false);
	await waitUntil(() => waiting.length === 1, 100);
	waiting[0]!.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi');
	await second;
	await waitUntil(isIdle);
	t.assert.strictEqual(isIdle(), true);
});

test('the last call on a connection leaves no idle connection', async (t: TestContext) => {
	const address = await startServer(t, (socket) => {
		socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
	});
	const client = createUpstreamClient();
	t.after(client.close);
	const call = async (isLastOnConnection: boolean) =>
		new Promise<void>((resolve) => {
			client.call(
				{...callOf(address), isLastOnConnection},
				{
					onHead: () => undefined,
					onData: () => true,
					onEnd: resolve,
					onFailure() {
						resolve();
					},
				},
			);
		});
	await call(true);
	await waitUntil(() => !client.hasIdleConnection(address));
	t.assert.ok(!client.hasIdleConnection(address));
	await call(false);
	await waitUntil(() => client.hasIdleConnection(address));
	t.assert.ok(client.hasIdleConnection(address));
	t.assert.strictEqual(client.connectionsOpened(), 2);
});

test('a call that waits for a connection is withdrawn without being sent if it may no longer begin', async (t: TestContext) => {
	let received = 0;
	const address = await startServer(t, (socket, count) => {
		received = count;
		setTimeout(() => {
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
		}, 50);
	});
	const client = createUpstreamClient();
	t.after(async () => client.close());
	let canBegin = true;
	const failures: UpstreamFailure[] = [];
	let ended = 0;
	const call = () =>
		client.call(
			{...callOf(address), canBegin: () => canBegin},
			{
				onHead() {
					canBegin = false;
				},
				onData: () => true,
				onEnd() {
					ended += 1;
				},
				onFailure(failure) {
					failures.push(failure);
				},
			},
		);
	call();
	call();
	await waitUntil(() => failures.length > 0);
	t.assert.strictEqual(ended, 1);
	t.assert.strictEqual(received, 1);
	t.assert.deepStrictEqual(
		failures.map(({wasSent, isWithdrawn}) => [wasSent, isWithdrawn]),
		[[false, true]],
	);
});
