/**
Simulated backend server that can refuse, fail, hang and restart, and records its requests.
*/
import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import {productHeaders} from '../src/gateway/product-headers.ts';
import {closeServer} from '../src/shared/index.ts';
import {endlessResponses, writeEndless} from '../stand-ins/endless-bytes.ts';
import {listenAt} from '../stand-ins/http-server.ts';
import type {StandInRegistry} from '../stand-ins/registry.ts';

/**
Request that arrived at a server, and the statements in its answer.
*/
export type ServerEvent = {
	/**
	Time of arrival, in milliseconds of the checker's clock.
	*/
	readonly at: number;
	readonly server: string;
	/**
	Increases with each restart of the server.
	*/
	readonly incarnation: number;
	readonly requestId: string;
	/**
	Number of stream events that the caller had already received.
	*/
	readonly resumedAfter: number;
	readonly isRun: boolean;
	/**
	Whether the prompt has the part on which servers may crash.
	*/
	readonly hasFatalPart: boolean;
	/**
	Version of the server's software.
	*/
	readonly softwareVersion: string;
	/**
	Whether the answer announced the server's shutdown.
	*/
	readonly isLeaving: boolean;
	/**
	Backoff that the answer requested, in milliseconds.
	*/
	readonly backoffMs: number | undefined;
	/**
	Limit that the answer stated, in requests per second over all nodes; undefined for no limit.
	*/
	readonly limit: number | undefined;
	/**
	Time when the answer was complete or the connection closed.
	*/
	endedAt: number;
	/**
	Whether the server was silent while it had the request.
	*/
	metSilence: boolean;
	/**
	How long the request had been without a byte when a node closed the connection before the answer was complete, while the server was
	silent, in milliseconds; undefined for any other end.
	*/
	cutAfterMs: number | undefined;
};

/**
Failure of a server that had to refuse too many requests.
*/
export type ServerFall = {
	readonly at: number;
	/**
	When the server became brittle.
	*/
	readonly brittleSince: number;
	/**
	Ids of the requests that it refused in the second before.
	*/
	readonly refused: readonly string[];
};

/**
Current behaviour of a server: `sound` serves all requests; `rest` refuses them with `Retry-After`.
*/
export type Behaviour =
	| 'sound'
	| 'refuse'
	| 'rest'
	| 'fail'
	| 'break'
	| 'hang'
	| 'crash'
	/**
	Streams have neither a length nor chunks, and every other one is cut inside an event.
	*/
	| 'unframed'
	/**
	Responses, also to health checks, never end: each in the next one of the ways in which a server can do that.
	*/
	| 'endless';

/**
Controls a simulated server of a soak test.
*/
export type SoakServer = {
	readonly events: readonly ServerEvent[];
	/**
	Times of the crashes on the fatal part.
	*/
	readonly crashes: readonly number[];
	readonly falls: readonly ServerFall[];
	/**
	Ids of the requests whose heads have arrived.
	*/
	readonly received: ReadonlySet<string>;
	/**
	Sets whether the server is slow, lets few requests wait, states a limit on refusals, and fails beyond it.
	*/
	setBrittle(isBrittle: boolean): void;
	/**
	Sets whether the server works so slowly that requests wait.
	*/
	setSlow(isSlow: boolean): void;
	/**
	Sets whether the server crashes on the fatal part.
	*/
	setFatal(isFatal: boolean): void;
	setBehaviour(behaviour: Behaviour): void;
	/**
	Sets whether the server sends nothing. What became due meanwhile is sent afterwards.
	*/
	setSilent(isSilent: boolean): void;
	/**
	Makes the server announce its shutdown until it restarts.
	*/
	announceShutdown(): void;
	/**
	Sets the limit that answers state, or removes it.
	*/
	limit(perSecond: number | undefined): void;
	/**
	Simulates a restart under the same id and resets all faults.
	*/
	restart(): void;
	/**
	Replaces the server by one under another id with the next version of the software. Its streams break off.
	*/
	upgrade(): void;
	close(): Promise<void>;
};

/**
Returns the text of an event that names the version of the software that wrote it.
*/
export const soakEventOf = (index: number, version: string): string =>
	`id: ${index}\ndata: ${version}\n\n`;

/**
Number of events in a complete stream.
*/
export const eventsPerStream = 5;

const backoffSeconds = 1.5;
const workMs = 15;
const pauseMs = 10;
const slots = 8;
const brittleWorkMs = 300;
const slowWorkMs = 1200;
const brittleRoom = 1;
// Time after the first statement until the server lets fewer requests wait.
const brittleAdoptionMs = 1500;
const refusalLimit = 3;
const refusalWindowMs = 1000;
const versions = 3;
const downMs = 400;

/**
The part of prompts on which servers may crash.
*/
export const fatalPart = 'deadly';

/**
Entry of a simulated server until it is replaced.
*/
export type SoakServerOptions = {
	readonly firstId: string;
	/**
	Kept when the server is replaced.
	*/
	readonly address: string;
	readonly availabilityZone: string;
	/**
	Number of the software version.
	*/
	readonly firstVersion: number;
};

/**
Starts a simulated server and writes it to the registry.
*/
export const startSoakServer = async (
	registry: StandInRegistry,
	{firstId, address, availabilityZone, firstVersion}: SoakServerOptions,
): Promise<SoakServer> => {
	let id = firstId;
	let version = firstVersion;
	const open = new Set<ServerResponse>();
	const running = new Set<ServerEvent>();
	const lastByteAt = new WeakMap<ServerResponse, number>();
	const closedHere = new WeakSet<ServerResponse>();
	const events: ServerEvent[] = [];
	const crashes: number[] = [];
	const falls: ServerFall[] = [];
	const received = new Set<string>();
	let refused: Array<{readonly at: number; readonly requestId: string}> = [];
	let brittleSince: number | undefined;
	let accepted = 0;
	let isFatal = false;
	let streams = 0;
	let isSlow = false;
	let endless = 0;
	let behaviour: Behaviour = 'sound';
	let isLeaving = false;
	let limit: number | undefined;
	let startedAt = 1;
	let silentSince: number | undefined;
	let held: Array<() => void> = [];

	// Does something now, or when the server goes on.
	const act = (action: () => void) => {
		if (silentSince === undefined) {
			action();
		} else {
			held.push(action);
		}
	};

	const setSilent = (isSilent: boolean) => {
		for (const event of isSilent ? running : []) {
			event.metSilence = true;
		}

		silentSince = isSilent ? (silentSince ?? performance.now()) : undefined;
		const due = isSilent ? [] : held;
		held = isSilent ? held : [];
		for (const action of due) {
			action();
		}
	};

	const register = () => {
		registry.write(`server ${id}`, {
			kind: 'server',
			server: {
				id,
				startedAt,
				service: 'engine',
				softwareVersion: `v${version}`,
				address,
				availabilityZone,
				slots,
				isLeaving: false,
				coldMs: 0,
			},
		});
	};

	const headersOf = (requestId: string) => ({
		[productHeaders.requestId]: requestId,
		...(isLeaving && {[productHeaders.leaving]: '1'}),
		...(limit !== undefined && {[productHeaders.limit]: String(limit)}),
		...(brittleSince !== undefined && {
			[productHeaders.refusalLimit]: String(refusalLimit),
		}),
	});

	const refuse = (
		response: ServerResponse,
		requestId: string,
		backoffMs: number | undefined,
	) => {
		response
			.writeHead(503, {
				...headersOf(requestId),
				[productHeaders.notRun]: '1',
				...(backoffMs !== undefined && {
					'retry-after': String(backoffMs / 1000),
				}),
			})
			.end();
	};

	const stream = (
		response: ServerResponse,
		after: number,
		breaksAt: number,
	) => {
		let index = after;
		const writtenBy = `v${version}`;
		const sendNext = () => {
			index += 1;
			if (response.destroyed) {
				return;
			}

			if (index === breaksAt) {
				response.destroy();
				return;
			}

			response.write(soakEventOf(index, writtenBy));
			lastByteAt.set(response, performance.now());
			if (index >= eventsPerStream) {
				response.end();
			} else {
				setTimeout(() => {
					act(sendNext);
				}, pauseMs);
			}
		};

		sendNext();
	};

	// Ends a stream that has neither a length nor chunks, inside its last event or after it.
	const closeUnframed = (response: ServerResponse, isCut: boolean) => {
		if (!isCut) {
			response.end();
			return;
		}

		const event = soakEventOf(eventsPerStream, `v${version}`);
		response.end(event.slice(0, 1 + (streams % (event.length - 2))));
	};

	const streamUnframed = (response: ServerResponse, after: number) => {
		streams += 1;
		const isCut = streams % 2 === 0;
		const last = isCut ? eventsPerStream - 1 : eventsPerStream;
		for (let index = after + 1; index <= last; index += 1) {
			response.write(soakEventOf(index, `v${version}`));
		}

		closeUnframed(response, isCut);
	};

	const workTimeMs = (): number =>
		isSlow ? slowWorkMs : brittleSince === undefined ? workMs : brittleWorkMs;

	const isFull = (): boolean =>
		brittleSince !== undefined &&
		performance.now() - brittleSince > brittleAdoptionMs &&
		accepted >= slots + brittleRoom;

	const recordRefusal = (requestId: string) => {
		const at = performance.now();
		refused = [
			...refused.filter((each) => at - each.at < refusalWindowMs),
			{at, requestId},
		];
		if (brittleSince === undefined || refused.length <= refusalLimit) {
			return;
		}

		const ids = refused.map((each) => each.requestId);
		falls.push({at, brittleSince, refused: ids});
		refused = [];
		shutDown();
	};

	const crash = () => {
		if (!server.listening) {
			return;
		}

		crashes.push(performance.now());
		shutDown();
	};

	const closeOpen = () => {
		for (const response of open) {
			closedHere.add(response);
			response.destroy();
		}
	};

	const shutDown = () => {
		if (!server.listening) {
			return;
		}

		server.close();
		closeOpen();
		server.closeAllConnections();
		setTimeout(() => {
			startedAt += 1;
			void listenAt(server, address).then(register);
		}, downMs);
	};

	const sendEndless = (response: ServerResponse, requestId: string) => {
		const {socket} = response;
		if (!socket) {
			return;
		}

		const headers = Object.entries({
			...headersOf(requestId),
			[productHeaders.signature]: `${id}/${requestId}`,
		}).map(([name, value]) => `${name}: ${value}\r\n`);
		const ways = Object.values(
			endlessResponses(`HTTP/1.1 200 OK\r\n${headers.join('')}`, requestId),
		);
		endless += 1;
		// Nodes end such a response, which is due to its bytes and not to a silence.
		closedHere.add(response);
		writeEndless(socket, ways[endless % ways.length]!);
	};

	const run = (
		request: IncomingMessage,
		response: ServerResponse,
		requestId: string,
	) => {
		const isStream = request.url?.startsWith('/stream/') ?? false;
		const after = Number(request.headers['last-event-id'] ?? 0);
		switch (behaviour) {
			case 'hang': {
				return;
			}

			case 'crash': {
				response.destroy();
				return;
			}

			case 'endless': {
				sendEndless(response, requestId);
				return;
			}

			case 'fail': {
				response.writeHead(500, headersOf(requestId)).end();
				return;
			}

			case 'sound':
			case 'refuse':
			case 'rest':
			case 'unframed':
			case 'break': {
				const isUnframed = behaviour === 'unframed' && isStream;
				response.useChunkedEncodingByDefault = !isUnframed;
				response.writeHead(200, {
					...headersOf(requestId),
					[productHeaders.signature]: `${id}/${requestId}`,
				});
				if (isFatal && hasFatalPart(request)) {
					response.write('id: 1\nda');
					setTimeout(crash, pauseMs);
				} else if (isUnframed) {
					streamUnframed(response, after);
				} else if (isStream) {
					stream(response, after, behaviour === 'break' ? after + 3 : 0);
				} else if (behaviour === 'break') {
					response.write('half');
					response.destroy();
				} else {
					response.end(requestId);
				}
			}
		}
	};

	const respond = (
		request: IncomingMessage,
		response: ServerResponse,
		receivedAt: number,
		wasHeld: boolean,
	) => {
		if (response.destroyed) {
			return;
		}

		if (request.headers[productHeaders.expectedServer] !== id) {
			response.writeHead(421).end();
			return;
		}

		if (behaviour === 'endless' && request.url === '/health') {
			sendEndless(response, '');
			return;
		}

		if (request.url === '/health') {
			const status = behaviour === 'sound' && !isLeaving ? 200 : 503;
			response.writeHead(status, {[productHeaders.serverId]: id}).end();
			return;
		}

		const requestId = String(request.headers[productHeaders.requestId]);
		const hasNoRoom = isFull();
		const isRefused =
			hasNoRoom || behaviour === 'refuse' || behaviour === 'rest';
		const backoffMs = behaviour === 'rest' ? backoffSeconds * 1000 : undefined;
		const event: ServerEvent = {
			at: performance.now(),
			server: id,
			incarnation: startedAt,
			requestId,
			resumedAfter: Number(request.headers['last-event-id'] ?? 0),
			isRun: !isRefused,
			hasFatalPart: hasFatalPart(request),
			softwareVersion: `v${version}`,
			isLeaving,
			backoffMs,
			limit,
			endedAt: Infinity,
			metSilence: wasHeld,
			cutAfterMs: undefined,
		};
		events.push(event);
		open.add(response);
		running.add(event);
		response.once('close', () => {
			open.delete(response);
			running.delete(event);
			event.endedAt = performance.now();
			const isCut =
				silentSince !== undefined &&
				!response.writableFinished &&
				!closedHere.has(response);
			event.cutAfterMs = isCut
				? event.endedAt - (lastByteAt.get(response) ?? receivedAt)
				: undefined;
		});
		if (hasNoRoom) {
			refuse(response, requestId, undefined);
			recordRefusal(requestId);
		} else if (isRefused) {
			refuse(response, requestId, backoffMs);
		} else {
			accepted += 1;
			response.once('close', () => {
				accepted -= 1;
			});
			setTimeout(() => {
				act(() => {
					run(request, response, requestId);
				});
			}, workTimeMs());
		}
	};

	const server = createServer((request, response) => {
		received.add(String(request.headers[productHeaders.requestId]));
		request.resume();
		request.once('end', () => {
			const receivedAt = performance.now();
			const wasHeld = silentSince !== undefined;
			act(() => {
				respond(request, response, receivedAt, wasHeld);
			});
		});
	});
	await listenAt(server, address);
	register();

	return {
		events,
		crashes,
		falls,
		received,
		setBrittle(isBrittle) {
			brittleSince = isBrittle
				? (brittleSince ?? performance.now())
				: undefined;
		},
		setSlow(next) {
			isSlow = next;
		},
		setFatal(next) {
			isFatal = next;
		},
		setBehaviour(next) {
			behaviour = next;
		},
		setSilent,
		announceShutdown() {
			isLeaving = true;
		},
		limit(perSecond) {
			limit = perSecond;
		},
		restart() {
			setSilent(false);
			isLeaving = false;
			limit = undefined;
			behaviour = 'sound';
			startedAt += 1;
			register();
		},
		upgrade() {
			registry.write(`server ${id}`, undefined);
			closeOpen();

			version = (version % versions) + 1;
			id = `${firstId}-${startedAt}`;
			isLeaving = false;
			limit = undefined;
			behaviour = 'sound';
			startedAt += 1;
			register();
		},
		close: async () => closeServer(server),
	};
};

const hasFatalPart = ({headers}: IncomingMessage): boolean =>
	String(headers[productHeaders.promptParts] ?? '').includes(fatalPart);
