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
};

/**
A backend server that can name a limit.
*/
export type LimitedServer = {
	readonly arrivals: readonly Arrival[];
	/**
	Names another limit from now on, or none.
	*/
	name(perSecond: number | undefined): void;
	close(): Promise<void>;
};

/**
How a server answers.
*/
export type LimitedAnswer = {
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
	{events, pauseMs}: LimitedAnswer,
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
Starts a backend server that names its limit in the heads of its answers, and enters it into the registry. It answers all
that comes: what it gets is the nodes' doing.
*/
export const startLimitedServer = async (
	registry: StandInRegistry,
	entry: Omit<RegisteredServer, 'coldMs' | 'isLeaving'>,
	answer: LimitedAnswer,
): Promise<LimitedServer> => {
	const arrivals: Arrival[] = [];
	let limit: number | undefined;

	const headers = (id: string) => ({
		[standInHeaders.requestId]: id,
		[standInHeaders.signature]: `${entry.id}/${id}`,
		...(limit !== undefined && {[standInHeaders.limit]: String(limit)}),
	});

	const server = createServer((request, response) => {
		const chunks: string[] = [];
		request.setEncoding('utf8');
		request.on('data', (chunk: string) => {
			chunks.push(chunk);
		});
		request.on('end', () => {
			const method = request.method ?? '';
			arrivals.push({at: performance.now(), method, body: chunks.join('')});
			const id = String(request.headers[standInHeaders.requestId] ?? '');
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
	registry.write(`server ${entry.id}`, {
		kind: 'server',
		server: {...entry, coldMs: 0, isLeaving: false},
	});
	return {
		arrivals,
		name(perSecond) {
			limit = perSecond;
		},
		close: async () => closeServer(server),
	};
};
