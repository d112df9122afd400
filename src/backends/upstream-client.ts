import type {Buffer} from 'node:buffer';
import {Pool, type buildConnector, type Dispatcher} from 'undici';
import {
	createHeaderReader,
	createHttpConnector,
	createMeteredClient,
	type Address,
} from '../shared/index.ts';

/**
One request to a backend server or another node.
*/
export type UpstreamCall = {
	/**
	Identifies the connection pool; all calls with the same key share it.
	*/
	readonly key: string;
	readonly address: Address;
	/**
	Maximum number of connections in the pool; applied when the first call of the key creates the pool.
	*/
	readonly maximumConnections: number;
	/**
	Whether the connection is closed when the call ends. Otherwise, it stays open for the next call.
	*/
	readonly isLastOnConnection?: boolean;
	/**
	Connect time-out in milliseconds; applied when the first call of the key creates the pool.
	*/
	readonly connectTimeoutMs: number;
	/**
	Maximum size of the head of a response in bytes, `defaultHeadBytes` if omitted; applied when the first call of the key creates the
	pool.
	*/
	readonly maximumHeadBytes?: number;
	readonly method: string;
	readonly target: string;
	/**
	Alternating names and values.
	*/
	readonly headers: readonly string[];
	readonly body: Buffer | undefined;
	/**
	Called just before the first byte is written, because a call may have waited for a connection. If it returns false, the call
	fails without being sent.
	*/
	readonly canBegin?: () => boolean;
};

/**
Status and headers of a response.
*/
export type UpstreamHead = {
	readonly status: number;
	/**
	Returns a header by its name in lower case; the first one if it is repeated.
	*/
	readonly header: (name: string) => string | undefined;
	/**
	Alternating names and values, as received.
	*/
	readonly rawHeaders: readonly string[];
};

/**
Why a call failed.
*/
export type UpstreamFailure = {
	/**
	Whether any byte of the request may have been sent.
	*/
	readonly wasSent: boolean;
	/**
	Whether the connection was refused.
	*/
	readonly isRefused?: boolean;
	/**
	Whether the call was withdrawn before its first byte was sent.
	*/
	readonly isWithdrawn?: boolean;
	/**
	Whether this node could not send the call to any receiver, so that the failure says nothing about the one it was meant for.
	*/
	readonly isUnsendable?: boolean;
	readonly reason: string;
};

/**
Whether a call failed because its receiver could not be connected to.
*/
export const isConnectFailure = ({
	wasSent,
	isWithdrawn,
	isUnsendable,
}: UpstreamFailure): boolean =>
	!wasSent && isWithdrawn !== true && isUnsendable !== true;

/**
Receives the events of a call: at most one head, then data, then either an end or a failure.
*/
export type UpstreamListener = {
	onHead(head: UpstreamHead): void;
	/**
	Returns false to pause the data until `resume` is called.
	*/
	onData(chunk: Buffer): boolean;
	onEnd(): void;
	onFailure(failure: UpstreamFailure): void;
};

/**
A call in progress.
*/
export type OpenCall = {
	/**
	Ends the call and closes its connection; the listener receives no further events.
	*/
	abort(): void;
	resume(): void;
};

/**
HTTP client with persistent connections.
*/
export type UpstreamClient = {
	call(call: UpstreamCall, listener: UpstreamListener): OpenCall;
	/**
	Stops using the connections of a key; calls in progress continue.
	*/
	forget(key: string): void;
	connectionsOpened(): number;
	/**
	Whether an open connection of the key is idle.
	*/
	hasIdleConnection(key: string): boolean;
	close(): Promise<void>;
};

/**
Connect time-out for another node, in milliseconds. It allows for several round trips between regions.
*/
export const peerConnectTimeoutMs = 800;

/**
Connect time-out for a backend server, in milliseconds. Within the local region, connecting takes a few milliseconds. Attempts to
connect to an unreachable server hang, and the requests that wait for them have about one second in total.
*/
export const backendConnectTimeoutMs = 300;

/**
Maximum idle time of a connection whose server states no keep-alive time-out, in milliseconds. Such servers close idle connections
in less than a second.
*/
export const defaultIdleTimeoutMs = 600;

/**
Time before the stated keep-alive time-out at which an idle connection is closed, in milliseconds. It prevents a request from
being sent while the server closes the connection.
*/
export const idleMarginMs = 900;

/**
Maximum size of the head of a response of a backend server, in bytes.
*/
export const defaultHeadBytes = 16_384;

const refusedCode = 'ECONNREFUSED';

// Failures to connect that are due to the limits of this machine.
const exhaustedCodes: ReadonlySet<string> = new Set([
	'EMFILE',
	'ENFILE',
	'ENOBUFS',
	'EADDRNOTAVAIL',
]);

/**
Creates a client without connections.
*/
export const createUpstreamClient = (): UpstreamClient => {
	const pools = new Map<string, Pool>();
	let opened = 0;
	const connectors = new Map<number, buildConnector.connector>();
	const connectFailures = new WeakSet<Error>();

	const connectorFor = (timeout: number): buildConnector.connector => {
		const known = connectors.get(timeout);
		if (known) {
			return known;
		}

		const connect = createHttpConnector(timeout);
		const connector: buildConnector.connector = (connectOptions, callback) => {
			opened += 1;
			connect(connectOptions, (error, socket) => {
				if (error) {
					const {code = ''} = error as NodeJS.ErrnoException;
					if (!exhaustedCodes.has(code)) {
						connectFailures.add(error);
					}

					callback(error, null);
				} else {
					callback(null, socket);
				}
			});
		};

		connectors.set(timeout, connector);
		return connector;
	};

	const poolFor = ({
		key,
		address,
		maximumConnections,
		connectTimeoutMs,
		maximumHeadBytes = defaultHeadBytes,
	}: UpstreamCall): Pool => {
		const known = pools.get(key);
		if (known) {
			return known;
		}

		const pool = new Pool(`http://${address}`, {
			connect: connectorFor(connectTimeoutMs),
			factory: createMeteredClient,
			connections: Math.max(1, maximumConnections),
			pipelining: 1,
			maxHeaderSize: maximumHeadBytes,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: defaultIdleTimeoutMs,
			keepAliveTimeoutThreshold: idleMarginMs,
		});
		pools.set(key, pool);
		return pool;
	};

	return {
		call(call, listener) {
			const state = createCallState(call, listener, connectFailures);
			try {
				poolFor(call).dispatch(
					{
						method: call.method,
						path: call.target,
						headers: call.headers as string[],
						body: call.body ?? null,
						// Omitted if false, so that undici decides which connections can be reused.
						...(call.isLastOnConnection && {reset: true}),
					},
					state.handler,
				);
			} catch (error) {
				// Deferred so that the caller has received the call before its listener receives the failure.
				queueMicrotask(() => {
					state.fail(error as Error);
				});
			}

			return state.open;
		},
		forget(key) {
			const pool = pools.get(key);
			pools.delete(key);
			void pool?.close().catch(() => undefined);
		},
		connectionsOpened: () => opened,
		hasIdleConnection: (key) => (pools.get(key)?.stats.free ?? 0) > 0,
		async close() {
			const all = pools.values().toArray();
			pools.clear();
			await Promise.all(all.map(async (pool) => pool.destroy()));
		},
	};
};

const createCallState = (
	{canBegin}: UpstreamCall,
	listener: UpstreamListener,
	connectFailures: Pick<WeakSet<Error>, 'has'>,
) => {
	let controller: Dispatcher.DispatchController | undefined;
	let wasSent = false;
	let isOver = false;
	const aborted = new Error('the call was aborted');
	const withdrawn = new Error('the call was withdrawn before it was sent');

	const fail = (error: Error) => {
		if (isOver) {
			return;
		}

		isOver = true;
		const isRefused = (error as NodeJS.ErrnoException).code === refusedCode;
		listener.onFailure({
			wasSent,
			isRefused,
			isWithdrawn: error === withdrawn,
			// Before the first byte, only a failure to connect concerns the receiver.
			isUnsendable:
				!wasSent && error !== withdrawn && !connectFailures.has(error),
			reason: error.message,
		});
	};

	const handler: Dispatcher.DispatchHandler = {
		onRequestStart(started) {
			controller = started;
			if (isOver) {
				started.abort(aborted);
				return;
			}

			if (canBegin?.() === false) {
				started.abort(withdrawn);
				fail(withdrawn);
				return;
			}

			wasSent = true;
		},
		onResponseStart(started, status, headers) {
			controller = started;
			if (isOver || status < 200) {
				return;
			}

			listener.onHead({
				status,
				header: createHeaderReader(headers),
				rawHeaders: textsOf(started.rawHeaders),
			});
		},
		onResponseData(started, chunk) {
			if (!isOver && !listener.onData(chunk)) {
				started.pause();
			}
		},
		onResponseEnd() {
			if (isOver) {
				return;
			}

			isOver = true;
			listener.onEnd();
		},
		onResponseError(_controller, error) {
			fail(error);
		},
	};

	const open: OpenCall = {
		abort() {
			if (isOver) {
				return;
			}

			isOver = true;
			controller?.abort(aborted);
		},
		resume() {
			if (!isOver) {
				controller?.resume();
			}
		},
	};

	return {handler, open, fail};
};

const textsOf = (
	rawHeaders: Dispatcher.DispatchController['rawHeaders'],
): readonly string[] =>
	Array.isArray(rawHeaders)
		? rawHeaders.map((part) =>
				typeof part === 'string' ? part : part.toString('latin1'),
			)
		: [];
