import {randomInt} from 'node:crypto';
import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';
import process from 'node:process';
import type {Address} from '../src/shared/index.ts';

const host = '127.0.0.1';
// Scenarios run in parallel, so each worker has a separate port range. The ranges lie below the
// ephemeral ports of the system, which outgoing connections use.
const portRange = 5000;
const workerId = Number(process.env.CUCUMBER_WORKER_ID ?? 0);
const firstPort = 10_000 + portRange * workerId;
// Several runs of the scenarios may share a range, so each run starts at a random port.
let lastPort = firstPort + randomInt(portRange);

const canBind = async (port: number): Promise<boolean> => {
	const isTcpFree = await new Promise<boolean>((resolve) => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
	if (!isTcpFree) {
		return false;
	}

	return new Promise<boolean>((resolve) => {
		const socket = createSocket('udp4');
		socket.once('error', () => {
			resolve(false);
		});
		socket.bind(port, host, () => {
			socket.close(() => {
				resolve(true);
			});
		});
	});
};

/**
Returns a local address that is free for both TCP and UDP.
*/
export const freeAddress = async (): Promise<Address> => {
	for (;;) {
		lastPort = firstPort + ((lastPort + 1 - firstPort) % portRange);
		if (await canBind(lastPort)) {
			return `${host}:${lastPort}`;
		}
	}
};
