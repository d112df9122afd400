import {createServer, type ServerResponse} from 'node:http';
import {registryPaths} from '../src/registry/http-source.ts';
import {closeServer, type Address} from '../src/shared/index.ts';
import type {StandInRegistry} from './registry.ts';
import {listenAt, sendJson} from './http-server.ts';

const statuses = {
	changes: 200,
	snapshot: 200,
	'history-lost': 410,
	unavailable: 503,
} as const;

/**
Serves an in-memory registry over HTTP.
*/
export const startRegistryServer = async (
	registry: StandInRegistry,
	address: Address,
): Promise<{close(): Promise<void>}> => {
	const source = registry.source();
	const answer = async (target: string) => {
		const {pathname, searchParams} = new URL(target, 'http://registry');
		return pathname === registryPaths.snapshot
			? source.snapshot()
			: source.changes(
					Number(searchParams.get('after')),
					Number(searchParams.get('wait')),
				);
	};

	const send = async (target: string, response: ServerResponse) => {
		const result = await answer(target);
		sendJson(response, statuses[result.kind], result);
	};

	const server = createServer((request, response) => {
		void send(request.url ?? '', response);
	});
	await listenAt(server, address);
	return {close: async () => closeServer(server)};
};
