import {randomInt} from 'node:crypto';
import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';
import process from 'node:process';
import type {Address} from '../src/shared/index.ts';

const host = '127.0.0.1';
// Scenarios run side by side; each worker takes its addresses from a range of its own, below
// the range from which the system takes those of outgoing connections.
const portRange = 5000;
const workerId = Number(process.env.CUCUMBER_WORKER_ID ?? 0);
const firstPort = 10_000 + portRange * workerId;
// Several runs of the scenarios may share a range; they begin apart in it.
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
An address on this machine that is free for TCP and UDP.
*/
export const freeAddress = async (): Promise<Address> => {
	for (;;) {
		lastPort = firstPort + ((lastPort + 1 - firstPort) % portRange);
		if (await canBind(lastPort)) {
			return `${host}:${lastPort}`;
		}
	}
};
