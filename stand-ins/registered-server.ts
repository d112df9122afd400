import {Buffer} from 'node:buffer';
import {createServer, type ServerResponse} from 'node:http';
import type {WireHeaders} from '../src/gateway/index.ts';
import type {RegisteredServer} from '../src/registry/index.ts';
import {closeServer} from '../src/shared/index.ts';
import {listenAt} from './http-server.ts';
import type {StandInRegistry} from './registry.ts';
import {standInHeaders} from './stand-in-headers.ts';

/**
Answer of a simulated backend server: a complete text or a stream of events.
*/
export type StandInAnswer =
	| {readonly kind: 'whole'; readonly text: string}
	/**
	Events with increasing ids, sent at intervals of `pauseMs` milliseconds.
	*/
	| {
			readonly kind: 'events';
			readonly count: number;
			readonly pauseMs: number;
	  };

/**
Simulated backend server that is in the registry.
*/
export type StandInServer = {
	readonly id: string;
	/**
	Ids of the requests that the server ran, in order.
	*/
	readonly ran: readonly string[];
	close(): Promise<void>;
};

// Larger than the heads that gateways accept from callers.
const maxHeaderSize = 65_536;

/**
Returns the text of one event of a simulated stream.
*/
export const eventOf = (index: number): string =>
	`id: ${index}\ndata: ${index}\n\n`;

const sendEvents = (
	response: ServerResponse,
	{count, pauseMs}: Extract<StandInAnswer, {kind: 'events'}>,
	after: number,
) => {
	let index = after;
	const sendNext = () => {
		index += 1;
		response.write(eventOf(index));
		if (index >= count) {
			response.end();
		} else if (!response.destroyed) {
			setTimeout(sendNext, pauseMs);
		}
	};

	sendNext();
};

/**
Starts a simulated backend server and writes it to the registry.
*/
export const startStandInServer = async (
	registry: StandInRegistry,
	entry: Omit<RegisteredServer, 'coldMs' | 'isLeaving'>,
	answer: StandInAnswer,
	headers: WireHeaders = standInHeaders,
): Promise<StandInServer> => {
	const ran: string[] = [];
	const server = createServer({maxHeaderSize}, (request, response) => {
		const header = (name: string) => String(request.headers[name] ?? '');
		const expectedServer = Buffer.from(
			header(headers.expectedServer),
			'latin1',
		).toString('utf8');
		const id = header(headers.requestId);
		request.resume();
		request.on('end', () => {
			if (expectedServer !== entry.id) {
				response.writeHead(421, {[headers.requestId]: id}).end();
				return;
			}

			ran.push(id);
			response.writeHead(200, {
				[headers.requestId]: id,
				[headers.signature]: `${encodeURIComponent(entry.id)}/${id}`,
			});
			if (answer.kind === 'whole') {
				response.end(answer.text);
			} else {
				sendEvents(response, answer, Number(header('last-event-id')));
			}
		});
	});
	server.maxHeadersCount = 0;
	await listenAt(server, entry.address);
	registry.write(`server ${entry.id}`, {
		kind: 'server',
		server: {...entry, coldMs: 0, isLeaving: false},
	});
	return {
		id: entry.id,
		ran,
		close: async () => closeServer(server),
	};
};

/**
Returns the body of a stream with the given number of events.
*/
export const eventsOf = (count: number): string =>
	Array.from({length: count}, (_, index) => eventOf(index + 1)).join('');
