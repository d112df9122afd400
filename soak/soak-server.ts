/**
A backend server that does what servers may do, and writes down what it did.
*/
import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import {productHeaders} from '../src/gateway/product-headers.ts';
import {closeServer} from '../src/shared/index.ts';
import {listenAt} from '../stand-ins/http-server.ts';
import {eventOf} from '../stand-ins/registered-server.ts';
import type {StandInRegistry} from '../stand-ins/registry.ts';

/**
A request that reached a server, and what it was told.
*/
export type ServerEvent = {
	/**
	Milliseconds of the checker's clock.
	*/
	readonly at: number;
	readonly server: string;
	readonly requestId: string;
	/**
	How many events of its stream the caller had.
	*/
	readonly resumedAfter: number;
	readonly isRun: boolean;
	/**
	Whether the answer announced the server's shutdown.
	*/
	readonly isLeaving: boolean;
	/**
	Rest that the answer asked for, in milliseconds.
	*/
	readonly backoffMs: number | undefined;
	/**
	Requests a second over all nodes that the answer stated; undefined for no limit.
	*/
	readonly limit: number | undefined;
	/**
	When its answer was complete or its connection had closed.
	*/
	endedAt: number;
};

/**
How a server behaves now.
*/
export type Behaviour =
	'sound' | 'refuse' | 'rest' | 'fail' | 'break' | 'hang' | 'crash';

/**
A server of a soak.
*/
export type SoakServer = {
	readonly events: readonly ServerEvent[];
	setBehaviour(behaviour: Behaviour): void;
	/**
	Announces its shutdown until it starts again.
	*/
	announceShutdown(): void;
	/**
	States a rate limit, or none.
	*/
	limit(perSecond: number | undefined): void;
	/**
	Starts again under its id, sound.
	*/
	restart(): void;
	close(): Promise<void>;
};

/**
Events of a stream.
*/
export const eventsPerStream = 5;

const restSeconds = 1.5;
const workMs = 15;
const pauseMs = 10;
const slots = 16;

/**
Starts a server and enters it into the registry.
*/
export const startSoakServer = async (
	registry: StandInRegistry,
	id: string,
	address: string,
	availabilityZone: string,
): Promise<SoakServer> => {
	const events: ServerEvent[] = [];
	let behaviour: Behaviour = 'sound';
	let isLeaving = false;
	let limit: number | undefined;
	let startedAt = 1;

	const register = () => {
		registry.write(`server ${id}`, {
			kind: 'server',
			server: {
				id,
				startedAt,
				service: 'engine',
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
	});

	const refuse = (
		response: ServerResponse,
		requestId: string,
		restMs: number | undefined,
	) => {
		response
			.writeHead(503, {
				...headersOf(requestId),
				[productHeaders.notRun]: '1',
				...(restMs !== undefined && {'retry-after': String(restMs / 1000)}),
			})
			.end();
	};

	const stream = (
		response: ServerResponse,
		after: number,
		breaksAt: number,
	) => {
		let index = after;
		const next = () => {
			index += 1;
			if (index === breaksAt) {
				response.destroy();
				return;
			}

			response.write(eventOf(index));
			if (index >= eventsPerStream) {
				response.end();
			} else {
				setTimeout(next, pauseMs);
			}
		};

		next();
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

			case 'fail': {
				response.writeHead(500, headersOf(requestId)).end();
				return;
			}

			case 'sound':
			case 'refuse':
			case 'rest':
			case 'break': {
				response.writeHead(200, {
					...headersOf(requestId),
					[productHeaders.signature]: `${id}/${requestId}`,
				});
				if (isStream) {
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

	const server = createServer((request, response) => {
		request.resume();
		request.once('end', () => {
			if (request.headers[productHeaders.expectedServer] !== id) {
				response.writeHead(421).end();
				return;
			}

			if (request.url === '/health') {
				const status = behaviour === 'sound' && !isLeaving ? 200 : 503;
				response.writeHead(status, {[productHeaders.serverId]: id}).end();
				return;
			}

			const requestId = String(request.headers[productHeaders.requestId]);
			const isRefused = behaviour === 'refuse' || behaviour === 'rest';
			const restMs = behaviour === 'rest' ? restSeconds * 1000 : undefined;
			const event: ServerEvent = {
				at: performance.now(),
				server: id,
				requestId,
				resumedAfter: Number(request.headers['last-event-id'] ?? 0),
				isRun: !isRefused,
				isLeaving,
				backoffMs: restMs,
				limit,
				endedAt: Infinity,
			};
			events.push(event);
			response.once('close', () => {
				event.endedAt = performance.now();
			});
			if (isRefused) {
				refuse(response, requestId, restMs);
			} else {
				setTimeout(() => {
					run(request, response, requestId);
				}, workMs);
			}
		});
	});
	await listenAt(server, address);
	register();

	return {
		events,
		setBehaviour(next) {
			behaviour = next;
		},
		announceShutdown() {
			isLeaving = true;
		},
		limit(perSecond) {
			limit = perSecond;
		},
		restart() {
			isLeaving = false;
			limit = undefined;
			behaviour = 'sound';
			startedAt += 1;
			register();
		},
		close: async () => closeServer(server),
	};
};
