import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {RegisteredServer} from '../src/registry/index.ts';
import {closeServer} from '../src/shared/index.ts';
import {listenAt, readText} from './http-server.ts';
import type {StandInRegistry} from './registry.ts';
import {eventOf} from './registered-server.ts';
import {standInHeaders} from './stand-in-headers.ts';

/**
A request that began to run at a server.
*/
export type RecordedRun = {
	readonly at: number;
	readonly server: string;
	readonly body: string;
};

/**
What all servers of a test write into.
*/
export type RunLog = {
	readonly runs: RecordedRun[];
	readonly crashes: Array<Pick<RecordedRun, 'at' | 'server'>>;
};

/**
How a server behaves.
*/
export type CrashingBehaviour = {
	/**
	Whether a request crashes the server that runs it.
	*/
	readonly isFatal: (body: string) => boolean;
	/**
	Events of a stream, and milliseconds between two of them.
	*/
	readonly events: number;
	readonly pauseMs: number;
	/**
	How long the server is down after a crash, in milliseconds.
	*/
	readonly downMs: number;
};

/**
Starts a backend server that some requests crash while it streams to all: it sends an event of the fatal request, ends
without a word, and starts again under the same id.
*/
export const startCrashingServer = async (
	registry: StandInRegistry,
	entry: Omit<RegisteredServer, 'coldMs' | 'isLeaving' | 'startedAt'>,
	{isFatal, events, pauseMs, downMs}: CrashingBehaviour,
	book: RunLog,
): Promise<{close(): Promise<void>}> => {
	let server: Server;
	let restart: NodeJS.Timeout | undefined;

	const crash = () => {
		if (!server.listening) {
			return;
		}

		book.crashes.push({at: performance.now(), server: entry.id});
		void closeServer(server);
		restart = setTimeout(() => {
			void start();
		}, downMs);
	};

	const run = (response: ServerResponse, body: string, after: number) => {
		book.runs.push({at: performance.now(), server: entry.id, body});
		let index = after;
		const sendNext = () => {
			index += 1;
			response.write(eventOf(index));
			if (isFatal(body)) {
				setTimeout(crash, pauseMs);
			} else if (index >= events) {
				response.end();
			} else if (!response.destroyed) {
				setTimeout(sendNext, pauseMs);
			}
		};

		sendNext();
	};

	const take = async (request: IncomingMessage, response: ServerResponse) => {
		if (request.method === 'GET') {
			response.writeHead(200, {[standInHeaders.serverId]: entry.id}).end();
			return;
		}

		const body = await readText(request);
		const header = (name: string) => String(request.headers[name] ?? '');
		const id = header(standInHeaders.requestId);
		response.writeHead(200, {
			[standInHeaders.requestId]: id,
			[standInHeaders.signature]: `${entry.id}/${id}`,
		});
		run(response, body, Number(header('last-event-id')));
	};

	const start = async () => {
		server = createServer((request, response) => {
			void take(request, response);
		});
		await listenAt(server, entry.address);
		registry.write(`server ${entry.id}`, {
			kind: 'server',
			server: {...entry, startedAt: Date.now(), coldMs: 0, isLeaving: false},
		});
	};

	await start();
	return {
		async close() {
			clearTimeout(restart);
			await closeServer(server);
		},
	};
};
