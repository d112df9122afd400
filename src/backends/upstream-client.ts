import type {Buffer} from 'node:buffer';
import {buildConnector, Pool, type Dispatcher} from 'undici';
import {headerReader, type Address} from '../shared/index.ts';

/**
One request to a backend server or another node.
*/
export type UpstreamCall = {
	/**
	Names the connections to use: all calls under one key share them.
	*/
	readonly key: string;
	readonly address: Address;
	/**
	The most connections under the key; used when its first call is made.
	*/
	readonly maximumConnections: number;
	/**
	Whether the connection is closed when the call ends; it rests for the next one otherwise.
	*/
	readonly isLastOnConnection?: boolean;
	/**
	How long a connection may take to come up, in milliseconds; used when its first call is made.
	*/
	readonly connectTimeoutMs: number;
	readonly method: string;
	readonly target: string;
	/**
	Names and values in turn.
	*/
	readonly headers: readonly string[];
	readonly body: Buffer | undefined;
	/**
	Asked just before the first byte is written; the call fails unsent where it returns false. A call may wait for a
	connection meanwhile.
	*/
	readonly canBegin?: () => boolean;
};

/**
The head of an answer.
*/
export type UpstreamHead = {
	readonly status: number;
	/**
	By names in lower case; of repeated headers the first.
	*/
	readonly header: (name: string) => string | undefined;
	/**
	Names and values in turn, as they came.
	*/
	readonly rawHeaders: readonly string[];
};

/**
Why a call failed.
*/
export type UpstreamFailure = {
	/**
	Whether any byte may have left this node.
	*/
	readonly wasSent: boolean;
	/**
	Whether nobody listens at the address.
	*/
	readonly isRefused?: boolean;
	/**
	Whether the call was withdrawn before its first byte.
	*/
	readonly isWithdrawn?: boolean;
	readonly reason: string;
};

/**
Told how a call goes on: at most one head, then data, then either an end or a failure.
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
A call under way.
*/
export type OpenCall = {
	/**
	Ends the call and its connection; the listener hears nothing more.
	*/
	abort(): void;
	resume(): void;
};

/**
Makes HTTP calls over kept connections.
*/
export type UpstreamClient = {
	call(call: UpstreamCall, listener: UpstreamListener): OpenCall;
	/**
	Uses no connection under the key again; calls under way go on.
	*/
	forget(key: string): void;
	connectionsOpened(): number;
	/**
	Whether a connection under the key is open and carries no call.
	*/
	hasIdleConnection(key: string): boolean;
	close(): Promise<void>;
};

/**
How long a connection to another node may take to come up, in milliseconds: several round trips between
regions.
*/
export const peerConnectTimeoutMs = 800;

/**
How long a connection to a backend server may take to come up, in milliseconds. Servers are of the own
region, where it takes a few; one that has gone dark lets each attempt hang, and the requests that wait for it
have a second or so in all.
*/
export const backendConnectTimeoutMs = 300;

/**
How long a connection without a stated time rests at most, in milliseconds. Backend servers that
state none close after less than a second.
*/
export const defaultIdleTimeoutMs = 600;

/**
A resting connection is closed this long before its stated time is over, in milliseconds, so that
no request crosses the other side's close.
*/
export const idleMarginMs = 900;

const resetCode = 'ECONNRESET';
const refusedCode = 'ECONNREFUSED';

/**
Builds a client without connections.
*/
export const createUpstreamClient = (): UpstreamClient => {
	const pools = new Map<string, Pool>();
	let opened = 0;
	const connectors = new Map<number, buildConnector.connector>();

	const connectorFor = (timeout: number): buildConnector.connector => {
		const known = connectors.get(timeout);
		if (known) {
			return known;
		}

		const connect = buildConnector({timeout});
		const connector: buildConnector.connector = (connectOptions, callback) => {
			opened += 1;
			connect(connectOptions, (error, socket) => {
				if (error) {
					callback(error, null);
					return;
				}

				// The library takes an answer without a length that is cut by a reset for whole. Under
				// another code the same error fails the call, and this listener runs before the library's.
				socket.on('error', (failure: NodeJS.ErrnoException) => {
					if (failure.code === resetCode) {
						failure.code = 'ERR_CONNECTION_RESET_BY_PEER';
					}
				});
				callback(null, socket);
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
	}: UpstreamCall): Pool => {
		const known = pools.get(key);
		if (known) {
			return known;
		}

		const pool = new Pool(`http://${address}`, {
			connect: connectorFor(connectTimeoutMs),
			connections: Math.max(1, maximumConnections),
			pipelining: 1,
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
			const state = createCallState(call, listener);
			try {
				poolFor(call).dispatch(
					{
						method: call.method,
						path: call.target,
						headers: call.headers as string[],
						body: call.body ?? null,
						// Left out otherwise: the library then decides by itself which connections can go on.
						...(call.isLastOnConnection && {reset: true}),
					},
					state.handler,
				);
			} catch (error) {
				// Deferred: the caller must hold the call before it hears of its failure.
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
				header: headerReader(headers),
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
