import {createServer, type Server, type ServerResponse} from 'node:http';
import type {RegisteredServer} from '../src/registry/index.ts';
import {closeServer} from '../src/shared/index.ts';
import {listenAt} from './http-server.ts';
import type {StandInRegistry} from './registry.ts';
import {standInHeaders} from './stand-in-headers.ts';

/**
What a brittle server can hold.
*/
export type BrittleShape = {
	/**
	Requests that wait beyond the slots before others are refused.
	*/
	readonly room: number;
	readonly serviceMs: number;
	/**
	Refusals in a second beyond which the server falls over.
	*/
	readonly maximumRefusals: number;
	/**
	Time until a server that fell over is back with a new id, in milliseconds.
	*/
	readonly downMs: number;
};

/**
Simulated backend server that falls over when it has to refuse too many requests in a second.
*/
export type BrittleServer = {
	readonly falls: readonly number[];
	readonly refusals: readonly number[];
	/**
	Requests that were answered with success.
	*/
	readonly served: readonly number[];
	/**
	Sets whether further answers state that the server is brittle. Without the statement it does not fall over.
	*/
	setBrittle(isBrittle: boolean): void;
	/**
	Ends the server without a word, for good.
	*/
	crash(): Promise<void>;
	close(): Promise<void>;
};

const windowMs = 1000;

/**
Starts a server and writes it to the registry.
*/
export const startBrittleServer = async (
	registry: StandInRegistry,
	entry: Omit<RegisteredServer, 'coldMs' | 'isLeaving'>,
	{room, serviceMs, maximumRefusals, downMs}: BrittleShape,
): Promise<BrittleServer> => {
	const falls: number[] = [];
	const refusals: number[] = [];
	const served: number[] = [];
	let isBrittle = true;
	let isClosed = false;
	let starts = 0;
	let server: Server | undefined;

	const start = async (): Promise<void> => {
		starts += 1;
		const id = `${entry.id}-${starts}`;
		const key = `server ${id}`;
		const waiting: Array<() => void> = [];
		let running = 0;

		const headers = (requestId: string) => ({
			[standInHeaders.requestId]: requestId,
			[standInHeaders.signature]: `${id}/${requestId}`,
			[standInHeaders.serverId]: id,
			...(isBrittle && {
				[standInHeaders.refusalLimit]: String(maximumRefusals),
			}),
		});

		const fall = async () => {
			falls.push(performance.now());
			server = undefined;
			registry.write(key, undefined);
			started.closeAllConnections();
			await closeServer(started);
			setTimeout(() => {
				if (!isClosed) {
					void start();
				}
			}, downMs);
		};

		const refuse = (response: ServerResponse, requestId: string) => {
			const now = performance.now();
			refusals.push(now);
			response.writeHead(503, {
				...headers(requestId),
				[standInHeaders.notRun]: '1',
			});
			response.end();
			const recent = refusals.filter(
				(at) => at > now - windowMs && at > (falls.at(-1) ?? 0),
			);
			if (isBrittle && server === started && recent.length > maximumRefusals) {
				void fall();
			}
		};

		const run = (response: ServerResponse, requestId: string) => {
			running += 1;
			let isOver = false;
			const release = () => {
				if (isOver) {
					return;
				}

				isOver = true;
				clearTimeout(timer);
				running -= 1;
				waiting.shift()?.();
			};

			const timer = setTimeout(() => {
				response.writeHead(200, headers(requestId));
				response.end('done');
				served.push(performance.now());
				release();
			}, serviceMs);
			response.on('close', release);
		};

		const started = createServer((request, response) => {
			request.resume();
			request.on('end', () => {
				const requestId = String(
					request.headers[standInHeaders.requestId] ?? '',
				);
				if (running < entry.slots) {
					run(response, requestId);
				} else if (waiting.length < room) {
					const begin = () => {
						run(response, requestId);
					};

					waiting.push(begin);
					response.on('close', () => {
						const index = waiting.indexOf(begin);
						if (index !== -1) {
							waiting.splice(index, 1);
						}
					});
				} else {
					refuse(response, requestId);
				}
			});
		});
		server = started;
		await listenAt(started, entry.address);
		registry.write(key, {
			kind: 'server',
			server: {...entry, id, coldMs: 0, isLeaving: false},
		});
	};

	await start();

	const stop = async () => {
		isClosed = true;
		registry.write(`server ${entry.id}-${starts}`, undefined);
		const running = server;
		server = undefined;
		running?.closeAllConnections();
		await (running && closeServer(running));
	};

	return {
		falls,
		refusals,
		served,
		setBrittle(isNow) {
			isBrittle = isNow;
		},
		crash: stop,
		close: stop,
	};
};
