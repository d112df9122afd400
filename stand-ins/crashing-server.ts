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
Request that a server began to run.
*/
export type RecordedRun = {
	readonly at: number;
	readonly server: string;
	readonly body: string;
};

/**
Record of runs and crashes, shared by all servers of a test.
*/
export type RunLog = {
	readonly runs: RecordedRun[];
	readonly crashes: Array<Pick<RecordedRun, 'at' | 'server'>>;
};

/**
Configures which requests crash a server, its streams and its restart.
*/
export type CrashingBehaviour = {
	/**
	Whether a request crashes the server that runs it.
	*/
	readonly isFatal: (body: string) => boolean;
	/**
	Number of events per stream. `pauseMs` is the time between two events, in milliseconds.
	*/
	readonly events: number;
	readonly pauseMs: number;
	/**
	Time between a crash and the restart, in milliseconds.
	*/
	readonly downMs: number;
};

/**
Starts a streaming backend server that crashes on some requests. It sends one event of the fatal request, closes all
connections without notice, and restarts under the same id.
*/
export const startCrashingServer = async (
	registry: StandInRegistry,
	entry: Omit<RegisteredServer, 'coldMs' | 'isLeaving' | 'startedAt'>,
	{isFatal, events, pauseMs, downMs}: CrashingBehaviour,
	log: RunLog,
): Promise<{close(): Promise<void>}> => {
	let server: Server;
	let restart: NodeJS.Timeout | undefined;

	const crash = () => {
		if (!server.listening) {
			return;
		}

		log.crashes.push({at: performance.now(), server: entry.id});
		void closeServer(server);
		restart = setTimeout(() => {
			void start();
		}, downMs);
	};

	const run = (response: ServerResponse, body: string, after: number) => {
		log.runs.push({at: performance.now(), server: entry.id, body});
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

	const handle = async (request: IncomingMessage, response: ServerResponse) => {
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
			void handle(request, response);
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
