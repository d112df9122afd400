import {createServer, type ServerResponse} from 'node:http';
import type {RegisteredServer} from '../src/registry/index.ts';
import {closeServer} from '../src/shared/index.ts';
import {listenAt} from './http-server.ts';
import {eventOf} from './registered-server.ts';
import type {StandInRegistry} from './registry.ts';
import {standInHeaders} from './stand-in-headers.ts';

/**
Request that arrived at a server.
*/
export type Arrival = {
	readonly at: number;
	readonly method: string;
	readonly body: string;
	/**
	Whether the server refused the request.
	*/
	readonly isRefused: boolean;
};

/**
Simulated backend server that states its limit or its shutdown in response headers.
*/
export type StatementServer = {
	readonly arrivals: readonly Arrival[];
	/**
	Sets the limit that further answers state, or removes it.
	*/
	setLimit(perSecond: number | undefined): void;
	/**
	Makes all further answers announce the shutdown of the server.
	*/
	announceLeaving(): void;
	/**
	Starts to refuse requests with 503.

	@param retryAfter Value of `Retry-After` in the refusals, if given.
	@param isShed Selects by body which requests are refused; by default all.
	*/
	shed(retryAfter?: string, isShed?: (body: string) => boolean): void;
	/**
	Stops refusing requests.
	*/
	recover(): void;
	/**
	Simulates a restart under the same id and address, with a new start time.
	*/
	restart(startedAt: number): void;
	/**
	Writes the registry entry of the server again; the entry states that the server is ready.
	*/
	register(): void;
	close(): Promise<void>;
};

/**
Timing and number of events of an answer.
*/
export type ResponseShape = {
	/**
	Delay before the answer begins, in milliseconds.
	*/
	readonly beforeMs: number;
	/**
	Number of events in a stream, or 0 for an answer without events. `pauseMs` is the time between two events, in
	milliseconds.
	*/
	readonly events: number;
	readonly pauseMs: number;
};

const sendEvents = (
	response: ServerResponse,
	{events, pauseMs}: ResponseShape,
) => {
	let index = 0;
	const sendNext = () => {
		index += 1;
		response.write(eventOf(index));
		if (index >= events) {
			response.end();
		} else if (!response.destroyed) {
			setTimeout(sendNext, pauseMs);
		}
	};

	sendNext();
};

/**
Starts a simulated backend server that states its limit or its shutdown in response headers, and writes it to the
registry.
*/
export const startStatementServer = async (
	registry: StandInRegistry,
	entry: Omit<RegisteredServer, 'coldMs' | 'isLeaving'>,
	answer: ResponseShape,
): Promise<StatementServer> => {
	const arrivals: Arrival[] = [];
	let limit: number | undefined;
	let isLeaving = false;
	let shedding:
		| {
				readonly retryAfter: string | undefined;
				readonly isShed: (body: string) => boolean;
		  }
		| undefined;
	let {startedAt} = entry;

	const headers = (id: string) => ({
		[standInHeaders.requestId]: id,
		[standInHeaders.signature]: `${entry.id}/${id}`,
		...(limit !== undefined && {[standInHeaders.limit]: String(limit)}),
		...(isLeaving && {[standInHeaders.leaving]: '1'}),
	});

	const refuse = (response: ServerResponse, id: string) => {
		const retryAfter = shedding?.retryAfter;
		response.writeHead(503, {
			...headers(id),
			[standInHeaders.notRun]: '1',
			...(retryAfter !== undefined && {'retry-after': retryAfter}),
		});
		response.end();
	};

	const register = () => {
		registry.write(`server ${entry.id}`, {
			kind: 'server',
			server: {
				...entry,
				...(startedAt !== undefined && {startedAt}),
				coldMs: 0,
				isLeaving: false,
			},
		});
	};

	const server = createServer((request, response) => {
		const chunks: string[] = [];
		request.setEncoding('utf8');
		request.on('data', (chunk: string) => {
			chunks.push(chunk);
		});
		request.on('end', () => {
			const method = request.method ?? '';
			const body = chunks.join('');
			const isRefused = shedding?.isShed(body) ?? false;
			arrivals.push({at: performance.now(), method, body, isRefused});
			const id = String(request.headers[standInHeaders.requestId] ?? '');
			if (isRefused) {
				refuse(response, id);
				return;
			}

			if (method === 'GET') {
				response.writeHead(200, {
					...headers(id),
					[standInHeaders.serverId]: entry.id,
				});
				response.end();
				return;
			}

			setTimeout(() => {
				response.writeHead(200, headers(id));
				if (answer.events === 0) {
					response.end('done');
				} else {
					sendEvents(response, answer);
				}
			}, answer.beforeMs);
		});
	});
	await listenAt(server, entry.address);
	register();
	return {
		arrivals,
		setLimit(perSecond) {
			limit = perSecond;
		},
		announceLeaving() {
			isLeaving = true;
		},
		shed(retryAfter, isShed = () => true) {
			shedding = {retryAfter, isShed};
		},
		recover() {
			shedding = undefined;
		},
		restart(at) {
			isLeaving = false;
			shedding = undefined;
			limit = undefined;
			startedAt = at;
			register();
		},
		register,
		close: async () => closeServer(server),
	};
};
