import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {TestContext} from 'node:test';

/**
What a server sends for one request.
*/
export type RawAnswer = {
	/**
	Sent one after the other, with a pause.
	*/
	readonly packets: readonly string[];
	readonly end: 'close' | 'keep' | 'reset';
};

/**
Parts of a request by which an answer is chosen.
*/
export type RawRequest = {
	readonly head: string;
	/**
	Number of requests before it on its connection.
	*/
	readonly earlier: number;
};

// Long enough for a packet to be read on its own, in milliseconds.
const packetPauseMs = 3;

/**
Starts a server that answers the head of each request with raw bytes.
*/
export const startRawConnections = async (
	t: TestContext,
	answerTo: (request: RawRequest) => RawAnswer,
	host = '127.0.0.1',
): Promise<{readonly address: string}> => {
	const server = createServer((socket) => {
		let seen = '';
		let earlier = 0;
		const answer = async (head: string) => {
			const {packets, end} = answerTo({head, earlier});
			earlier += 1;
			for (const [index, packet] of packets.entries()) {
				if (index > 0) {
					await sleep(packetPauseMs);
				}

				socket.write(packet);
			}

			if (end === 'close') {
				socket.end();
			} else if (end === 'reset') {
				// What was written has to be read first.
				await sleep(packetPauseMs);
				socket.resetAndDestroy();
			}
		};

		socket.on('error', () => undefined);
		socket.on('data', (chunk) => {
			seen += chunk.toString('latin1');
			if (!seen.includes('\r\n\r\n')) {
				return;
			}

			const head = seen;
			seen = '';
			void answer(head);
		});
	});
	server.listen(0, host);
	await once(server, 'listening');
	t.after(() => {
		server.close();
	});
	return {address: `${host}:${(server.address() as AddressInfo).port}`};
};
