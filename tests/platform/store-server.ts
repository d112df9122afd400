import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {closeServer, type Address} from '../../src/shared/index.ts';
import {listenAt, sendJson} from '../../stand-ins/http-server.ts';

/**
A stand-in for the platform's store that holds a fixed set of items.
*/
export type StoreServer = {close(): Promise<void>};

// Duration of a watch without events, in milliseconds.
const watchMs = 500;

/**
Starts a store with JSON values by key.
*/
export const startStoreServer = async (
	address: Address,
	values: Readonly<Record<string, unknown>>,
): Promise<StoreServer> => {
	const items = Object.entries(values).map(([key, value], index) => ({
		key,
		revision: index + 1,
		value: Buffer.from(JSON.stringify(value)).toString('base64'),
	}));
	const server = createServer((request, response) => {
		if (request.url?.startsWith('/kv-range')) {
			sendJson(response, 200, {items, truncated: false, as_of: items.length});
			return;
		}

		setTimeout(() => {
			sendJson(response, 200, {events: [], as_of: items.length});
		}, watchMs);
	});
	await listenAt(server, address);
	return {close: async () => closeServer(server)};
};
