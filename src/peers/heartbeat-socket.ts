import type {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {splitAddress, type Address} from '../shared/index.ts';

/**
A UDP socket that sends and receives heartbeat datagrams.
*/
export type HeartbeatSocket = {
	send(to: Address, datagram: Buffer): void;
	/**
	Returns the numbers of datagrams and bytes sent and received since the socket was opened.
	*/
	counts(): SocketCounts;
	close(): Promise<void>;
};

/**
Traffic counters of a socket.
*/
export type SocketCounts = {
	readonly sent: number;
	readonly sentBytes: number;
	readonly received: number;
	readonly receivedBytes: number;
};

/**
Opens a UDP socket bound to an address.
*/
export const openHeartbeatSocket = async (
	address: Address,
	onDatagram: (datagram: Buffer) => void,
): Promise<HeartbeatSocket> => {
	const {host, port} = splitAddress(address);
	const socket = createSocket('udp4');
	const counts = {sent: 0, sentBytes: 0, received: 0, receivedBytes: 0};
	socket.on('message', (datagram) => {
		counts.received += 1;
		counts.receivedBytes += datagram.length;
		onDatagram(datagram);
	});
	await new Promise<void>((resolve, reject) => {
		const onError = (error: Error) => {
			socket.close();
			reject(error);
		};

		socket.once('error', onError);
		socket.bind(port, host, () => {
			socket.off('error', onError);
			resolve();
		});
	});
	// A datagram that cannot be sent is treated as lost; the failure detector tolerates losses.
	socket.on('error', () => undefined);

	return {
		send(to, datagram) {
			const target = splitAddress(to);
			counts.sent += 1;
			counts.sentBytes += datagram.length;
			socket.send(datagram, target.port, target.host, () => undefined);
		},
		counts: () => ({...counts}),
		close: async () =>
			new Promise((resolve) => {
				socket.close(() => {
					resolve();
				});
			}),
	};
};
