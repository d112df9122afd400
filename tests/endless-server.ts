import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import type {TestContext} from 'node:test';
import {writeEndless, type EndlessBytes} from '../stand-ins/endless-bytes.ts';

/**
Starts a server that answers each request with endless bytes, as fast as they are read. `replyTo` receives the head of the request.
*/
export const startEndlessServer = async (
	t: TestContext,
	replyTo: (head: string) => EndlessBytes,
	host = '127.0.0.1',
) => {
	let written = 0;
	let open = 0;

	const server = createServer((socket) => {
		let seen = '';
		open += 1;
		socket.on('error', () => undefined);
		socket.on('close', () => {
			open -= 1;
		});
		socket.on('data', (chunk) => {
			seen += chunk.toString('latin1');
			if (!seen.includes('\r\n\r\n')) {
				return;
			}

			const head = seen;
			seen = '';
			writeEndless(socket, replyTo(head), (bytes) => {
				written += bytes;
			});
		});
	});
	server.listen(0, host);
	await once(server, 'listening');
	t.after(() => {
		server.close();
	});
	return {
		address: `${host}:${(server.address() as AddressInfo).port}`,
		writtenBytes: () => written,
		openConnections: () => open,
	};
};
