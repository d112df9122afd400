import {createServer, type ServerResponse} from 'node:http';
import type {RegisteredServer} from '../src/registry/index.ts';
import {closeServer} from '../src/shared/index.ts';
import {listenAt} from './http-server.ts';
import {eventOf} from './registered-server.ts';
import type {StandInRegistry} from './registry.ts';
import {standInHeaders} from './stand-in-headers.ts';

/**
Simulated backend server that can fall silent: it keeps its connections open, accepts new ones, and sends nothing.
*/
export type PausableServer = {
	readonly id: string;
	/**
	Ids of the requests that the server began to run, in order.
	*/
	readonly ran: readonly string[];
	/**
	Ids of the requests whose connection was closed before the answer was complete.
	*/
	readonly cut: readonly string[];
	/**
	Ids of the requests whose answer was sent completely.
	*/
	readonly completed: readonly string[];
	pause(): void;
	/**
	Sends what became due during the silence.
	*/
	resume(): void;
	close(): Promise<void>;
};

/**
Timing of the responses of a simulated server.
*/
export type PausableServerShape = {
	/**
	Number of events of a stream. Other responses take as long as a stream.
	*/
	readonly events: number;
	/**
	Time before the head, the first event and each further event, in milliseconds.
	*/
	readonly stepMs: number;
};

/**
The path prefix of requests that a simulated server answers with a stream.
*/
export const streamPrefix = '/stream/';

/**
Starts a simulated server that can fall silent, and writes it to the registry.
*/
export const startPausableServer = async (
	registry: StandInRegistry,
	entry: Omit<RegisteredServer, 'coldMs' | 'isLeaving'>,
	{events, stepMs}: PausableServerShape,
): Promise<PausableServer> => {
	const ran: string[] = [];
	const cut: string[] = [];
	const completed: string[] = [];
	const held: Array<() => void> = [];
	let isPaused = false;

	const act = (action: () => void) => {
		if (isPaused) {
			held.push(action);
		} else {
			action();
		}
	};

	const later = (action: () => void) => {
		setTimeout(() => {
			act(action);
		}, stepMs);
	};

	const stream = (response: ServerResponse, index: number) => {
		response.write(eventOf(index));
		later(() => {
			if (index >= events) {
				response.end();
			} else {
				stream(response, index + 1);
			}
		});
	};

	const recordRun = (response: ServerResponse, id: string) => {
		ran.push(id);
		response.on('close', () => {
			(response.writableFinished ? completed : cut).push(id);
		});
	};

	const headOf = (id: string) => ({
		[standInHeaders.requestId]: id,
		[standInHeaders.signature]: `${entry.id}/${id}`,
	});

	const runStream = (response: ServerResponse, id: string, after: number) => {
		recordRun(response, id);
		later(() => {
			response.writeHead(200, headOf(id));
			response.flushHeaders();
			later(() => {
				stream(response, after + 1);
			});
		});
	};

	const runWhole = (response: ServerResponse, id: string) => {
		recordRun(response, id);
		setTimeout(
			() => {
				act(() => {
					response.writeHead(200, headOf(id)).end('done');
				});
			},
			stepMs * (events + 1),
		);
	};

	const server = createServer((request, response) => {
		const header = (name: string) => String(request.headers[name] ?? '');
		const id = header(standInHeaders.requestId);
		request.resume();
		request.on('end', () => {
			act(() => {
				if (request.method === 'GET') {
					response.writeHead(200, {[standInHeaders.serverId]: entry.id}).end();
				} else if (request.url?.startsWith(streamPrefix)) {
					runStream(response, id, Number(header('last-event-id')));
				} else {
					runWhole(response, id);
				}
			});
		});
	});
	await listenAt(server, entry.address);
	registry.write(`server ${entry.id}`, {
		kind: 'server',
		server: {...entry, coldMs: 0, isLeaving: false},
	});
	return {
		id: entry.id,
		ran,
		cut,
		completed,
		pause() {
			isPaused = true;
		},
		resume() {
			isPaused = false;
			for (const action of held.splice(0)) {
				action();
			}
		},
		close: async () => closeServer(server),
	};
};
