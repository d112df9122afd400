import {createServer, type ServerResponse} from 'node:http';
import type {RegisteredServer} from '../src/registry/index.ts';
import {closeServer} from '../src/shared/index.ts';
import {listenAt} from './http-server.ts';
import type {StandInRegistry} from './registry.ts';
import {standInHeaders} from './stand-in-headers.ts';

/**
Simulated backend server that writes the version of its software into each event of its streams. Like a real one, it continues any
stream.
*/
export type VersionedServer = {
	/**
	Number of streams that it began or continued.
	*/
	runs(): number;
	/**
	Breaks off all streams, or all and each further one after its next event.
	*/
	breakOff(how: 'now' | 'always'): void;
	/**
	Removes the server from the registry and breaks off its streams.
	*/
	leave(): Promise<void>;
	close(): Promise<void>;
};

/**
Number of events in a complete stream.
*/
export const versionedEvents = 6;

const pauseMs = 40;

/**
Starts a server and writes it to the registry.

@param registry Registry that holds its entry.
@param entry Its entry.
@param eventStep By how much the ids of events rise.
*/
export const startVersionedServer = async (
	registry: StandInRegistry,
	entry: Omit<RegisteredServer, 'coldMs' | 'isLeaving'>,
	eventStep = 1,
): Promise<VersionedServer> => {
	const open = new Set<ServerResponse>();
	let runs = 0;
	let isBroken = false;

	const stream = (response: ServerResponse, after: number) => {
		let index = after;
		const sendNext = () => {
			if (response.destroyed) {
				return;
			}

			index += 1;
			response.write(
				`id: ${index * eventStep}\ndata: ${entry.softwareVersion}\n\n`,
			);
			if (index >= versionedEvents) {
				response.end();
			} else if (isBroken) {
				setTimeout(() => {
					response.destroy();
				}, pauseMs);
			} else {
				setTimeout(sendNext, pauseMs);
			}
		};

		sendNext();
	};

	const server = createServer((request, response) => {
		const header = (name: string) => String(request.headers[name] ?? '');
		const requestId = header(standInHeaders.requestId);
		request.resume();
		request.once('end', () => {
			if (header(standInHeaders.expectedServer) !== entry.id) {
				response.writeHead(421, {[standInHeaders.requestId]: requestId}).end();
				return;
			}

			runs += 1;
			open.add(response);
			response.once('close', () => {
				open.delete(response);
			});
			response.writeHead(200, {
				[standInHeaders.requestId]: requestId,
				[standInHeaders.signature]: entry.id,
			});
			stream(response, Number(header('last-event-id')) / eventStep);
		});
	});

	const destroyAll = () => {
		for (const response of open) {
			response.destroy();
		}
	};

	await listenAt(server, entry.address);
	registry.write(`server ${entry.id}`, {
		kind: 'server',
		server: {...entry, coldMs: 0, isLeaving: false},
	});
	return {
		runs: () => runs,
		breakOff(how) {
			isBroken = how === 'always';
			destroyAll();
		},
		async leave() {
			registry.write(`server ${entry.id}`, undefined);
			destroyAll();
			await closeServer(server);
		},
		close: async () => closeServer(server),
	};
};
