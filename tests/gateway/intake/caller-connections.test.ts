import {test, type TestContext} from 'node:test';
import {createCallerConnections} from '../../../src/gateway/intake/caller-connections.ts';
import {
	callerConnectionsOf,
	callersPart,
} from '../../../src/gateway/intake/descriptor-limit.ts';
import {silentLogger} from '../../../src/logging/index.ts';

const maximum = 3;

// What has a `close` event.
const createClosable = () => {
	const listeners: Array<() => void> = [];
	return {
		once(_event: 'close', listener: () => void) {
			listeners.push(listener);
		},
		close() {
			for (const listener of listeners) {
				listener();
			}
		},
	};
};

const createSocket = () => {
	const {once, close} = createClosable();
	const socket = {
		isOpen: true,
		once,
		destroy() {
			socket.isOpen = false;
			close();
		},
	};
	return socket;
};

type FakeSocket = ReturnType<typeof createSocket>;

const setUp = () => {
	const connections = createCallerConnections<FakeSocket>(
		maximum,
		silentLogger,
	);
	return {
		connections,
		connect() {
			const socket = createSocket();
			connections.add(socket);
			return socket;
		},
		request(socket: FakeSocket) {
			const response = {...createClosable(), socket};
			connections.begin(response);
			return response;
		},
	};
};

const openOf = (sockets: readonly FakeSocket[]) =>
	sockets.map(({isOpen}) => isOpen);

// Guards against nodes that are ready and take no callers, because idle ones hold all connections.
test('the connection that has been idle for longest is closed for a new one', (t: TestContext) => {
	const {connections, connect, request} = setUp();
	const sockets = [connect(), connect(), connect()];
	const [first, second, third] = sockets;
	request(first!).close();
	request(third!);
	const fourth = connect();
	t.assert.deepStrictEqual(openOf([...sockets, fourth]), [
		true,
		false,
		true,
		true,
	]);
	t.assert.ok(!second!.isOpen);
	const fifth = connect();
	t.assert.deepStrictEqual(openOf([first!, fifth]), [false, true]);
	t.assert.strictEqual(connections.count(), maximum);
	t.assert.strictEqual(connections.closedForNew(), 2);
});

test('a new connection is closed if all others are in use', (t: TestContext) => {
	const {connections, connect, request} = setUp();
	const sockets = [connect(), connect(), connect()];
	const responses = sockets.map((socket) => request(socket));
	t.assert.ok(!connect().isOpen);
	t.assert.deepStrictEqual(openOf(sockets), [true, true, true]);
	responses[0]!.close();
	t.assert.ok(connect().isOpen);
	t.assert.strictEqual(connections.count(), maximum);
});

test('a connection with two responses is idle once both have been written', (t: TestContext) => {
	const {connections, connect, request} = setUp();
	const socket = connect();
	const responses = [request(socket), request(socket)];
	responses[0]!.close();
	connections.closeIdle();
	t.assert.ok(socket.isOpen);
	responses[1]!.close();
	connections.closeIdle();
	t.assert.ok(!socket.isOpen);
	t.assert.strictEqual(connections.count(), 0);
});

// Guards against nodes that close connections though their settings allow more than the operating system states.
test('callers may take a part of the descriptors that the settings state, or else of those of the process', (t: TestContext) => {
	t.assert.strictEqual(callerConnectionsOf(100), 100 * callersPart);
	t.assert.strictEqual(callerConnectionsOf(Infinity), Infinity);
	t.assert.ok(callerConnectionsOf(undefined) > 0);
});
