import type {Logger} from '../../logging/index.ts';

/**
What the connections of callers need of a socket.
*/
export type CallerSocket = {
	once(event: 'close', listener: () => void): unknown;
	destroy(): unknown;
};

/**
What they need of a response.
*/
export type CallerResponse<Socket extends CallerSocket> = {
	readonly socket: Socket | null;
	once(event: 'close', listener: () => void): unknown;
};

/**
The open connections of callers. There are never more than a maximum, so that descriptors are left for backend servers, other nodes and
the registry; the connection that has been idle for longest is closed for a new one.
*/
export type CallerConnections<Socket extends CallerSocket> = {
	add(socket: Socket): void;
	/**
	Counts a response of its connection until it has been written.
	*/
	begin(response: CallerResponse<Socket>): void;
	closeIdle(): void;
	count(): number;
	/**
	Returns the number of connections that were closed for new ones, or refused.
	*/
	closedForNew(): number;
};

// Part of the maximum below which connections count as no longer closed for new ones.
const recoveredPart = 0.8;

/**
Creates an empty set.
*/
export const createCallerConnections = <Socket extends CallerSocket>(
	maximum: number,
	logger: Logger,
): CallerConnections<Socket> => {
	// By connection, its responses that have not been written.
	const responses = new Map<Socket, number>();
	// In the order in which they became idle.
	const idle = new Set<Socket>();
	let closedForNew = 0;
	let isFull = false;

	const logFull = () => {
		if (isFull) {
			return;
		}

		isFull = true;
		logger.warn(
			{connections: responses.size, maximum, idle: idle.size},
			'connections of callers are closed for new ones',
		);
	};

	const logRecovery = () => {
		if (!isFull || responses.size > maximum * recoveredPart) {
			return;
		}

		isFull = false;
		logger.info(
			{connections: responses.size, maximum, closedForNew},
			'connections of callers are no longer closed for new ones',
		);
	};

	const remove = (socket: Socket) => {
		idle.delete(socket);
		if (responses.delete(socket)) {
			logRecovery();
		}
	};

	const change = (socket: Socket, by: number) => {
		const count = responses.get(socket);
		if (count === undefined) {
			return;
		}

		responses.set(socket, count + by);
		idle.delete(socket);
		if (count + by === 0) {
			idle.add(socket);
		}
	};

	const makeRoom = () => {
		if (responses.size <= maximum) {
			return;
		}

		logFull();
		closedForNew += 1;
		// The new connection itself if all others are in use.
		const [longestIdle] = idle;
		if (!longestIdle) {
			return;
		}

		remove(longestIdle);
		longestIdle.destroy();
	};

	return {
		add(socket) {
			responses.set(socket, 0);
			idle.add(socket);
			socket.once('close', () => {
				remove(socket);
			});
			makeRoom();
		},
		begin(response) {
			const {socket} = response;
			if (!socket) {
				return;
			}

			change(socket, 1);
			response.once('close', () => {
				change(socket, -1);
			});
		},
		closeIdle() {
			for (const socket of idle) {
				socket.destroy();
			}
		},
		count: () => responses.size,
		closedForNew: () => closedForNew,
	};
};
