import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {request} from 'undici';
import {
	createHttpAgent,
	maximumOverheadBytes,
	readBody,
} from '../../src/shared/index.ts';

const responses = 5;

// Guards against a sound connection that closes because of the heads and the framing of all its responses together.
test('each response of a connection is measured by itself', async (t: TestContext) => {
	let connections = 0;
	const extension = 'a'.repeat(maximumOverheadBytes / 2);
	const server = createServer((socket) => {
		connections += 1;
		socket.on('data', () => {
			socket.write(
				`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;${extension}\r\nhi\r\n0\r\n\r\n`,
			);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const agent = createHttpAgent({connectTimeoutMs: 1000, connections: 1});
	t.after(async () => {
		await agent.destroy();
		server.close();
	});

	const {port} = server.address() as AddressInfo;
	const bodies: string[] = [];
	for (let index = 0; index < responses; index += 1) {
		const {body} = await request(`http://127.0.0.1:${port}/`, {
			dispatcher: agent,
		});
		bodies.push((await readBody(body, 10)).toString('utf8'));
	}

	t.assert.deepStrictEqual(
		bodies,
		Array.from({length: responses}, () => 'hi'),
	);
	t.assert.strictEqual(connections, 1);
});
