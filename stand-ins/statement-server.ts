import {createServer, type ServerResponse} from 'node:http';
import type {RegisteredServer} from '../src/registry/index.ts';
import {closeServer} from '../src/shared/index.ts';
import {listenAt} from './http-server.ts';
import {eventOf} from './registered-server.ts';
import type {StandInRegistry} from './registry.ts';
import {standInHeaders} from './stand-in-headers.ts';

/**
What reached a server.
*/
export type Arrival = {
	readonly at: number;
	readonly method: string;
	readonly body: string;
	/**
	Whether it was refused.
	*/
	readonly isRefused: boolean;
};

/**
A backend server that states something about itself in its answers.
*/
export type StatementServer = {
	readonly arrivals: readonly Arrival[];
	/**
	Names another limit from now on, or none.
	*/
	setLimit(perSecond: number | undefined): void;
	/**
	Announces its shutdown in each answer from now on.
	*/
	announceLeaving(): void;
	/**
	Refuses requests with 503 from now on.

	@param retryAfter Asks for so many seconds of rest, if given.
	@param isShed Which requests, by their bodies.
	*/
	shed(retryAfter?: string, isShed?: (body: string) => boolean): void;
	/**
	Accepts requests again.
	*/
	recover(): void;
	/**
	Starts again under the same id and address, at another time of start.
	*/
	restart(startedAt: number): void;
	/**
	Writes its registry entry again, which says that it is ready.
	*/
	register(): void;
	close(): Promise<void>;
};

/**
How a server answers.
*/
export type ResponseShape = {
	/**
	Milliseconds before the answer begins.
	*/
	readonly beforeMs: number;
	/**
	Events of a stream, and milliseconds between two of them; without events the answer is whole.
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
Starts a backend server that states something about itself in the heads of its answers, and enters it into the registry.
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
