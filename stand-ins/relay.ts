// Relay that simulates a network link in one direction, with a delay and partitions.
import {createSocket} from 'node:dgram';
import {connect, createServer, type Socket} from 'node:net';

/**
Controls a relay.
*/
export type Relay = {
	readonly address: string;
	/**
	Starts a partition: holds back TCP traffic and drops datagrams.
	*/
	cut(): void;
	/**
	Ends the partition and forwards the held-back traffic first.
	*/
	heal(): void;
	close(): void;
};

/**
Listening address, target address and one-way delay of a relay.
*/
export type RelayOptions = {
	readonly listen: string;
	readonly target: string;
	readonly delayMs: number;
};

type Gate = {isCut: boolean; readonly waiting: Array<() => void>};

const parseAddress = (address: string): {host: string; port: number} => {
	const [host, port] = address.split(':', 2);
	return {host: host!, port: Number(port)};
};

const forward = (gate: Gate, delayMs: number, act: () => void) => {
	const release = () => {
		if (gate.isCut) {
			gate.waiting.push(act);
		} else {
			act();
		}
	};

	if (delayMs === 0) {
		release();
	} else {
		setTimeout(release, delayMs);
	}
};

const connectSockets = (
	from: Socket,
	to: Socket,
	gate: Gate,
	delayMs: number,
) => {
	from.on('data', (chunk) => {
		forward(gate, delayMs, () => {
			to.write(chunk);
		});
	});
	from.on('end', () => {
		forward(gate, delayMs, () => {
			to.end();
		});
	});
	from.on('error', () => {
		forward(gate, delayMs, () => {
			to.destroy();
		});
	});
	from.on('close', (hadError) => {
		if (hadError) {
			forward(gate, delayMs, () => {
				to.destroy();
			});
		}
	});
};

/**
Opens a relay for TCP and UDP on the same port.
*/
export const openRelay = async (options: RelayOptions): Promise<Relay> => {
	const gate: Gate = {isCut: false, waiting: []};
	const listen = parseAddress(options.listen);
	const target = parseAddress(options.target);
	const sockets = new Set<Socket>();
	const server = createServer({allowHalfOpen: true}, (socket) => {
		const outbound = connect({...target, allowHalfOpen: true});
		for (const one of [socket, outbound]) {
			one.setNoDelay(true);
			sockets.add(one);
			one.on('close', () => {
				sockets.delete(one);
			});
		}

		connectSockets(socket, outbound, gate, options.delayMs);
		connectSockets(outbound, socket, gate, options.delayMs);
	});
	await new Promise<void>((resolve) => {
		server.listen(listen.port, listen.host, resolve);
	});
	const datagrams = createSocket('udp4');
	datagrams.on('message', (message) => {
		// Datagrams that arrive during a partition are dropped.
		if (!gate.isCut) {
			setTimeout(() => {
				datagrams.send(message, target.port, target.host, () => undefined);
			}, options.delayMs);
		}
	});
	datagrams.on('error', () => undefined);
	await new Promise<void>((resolve) => {
		datagrams.bind(listen.port, listen.host, resolve);
	});

	return {
		address: options.listen,
		cut() {
			gate.isCut = true;
		},
		heal() {
			gate.isCut = false;
			for (const act of gate.waiting.splice(0)) {
				act();
			}
		},
		close() {
			server.close();
			datagrams.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};
