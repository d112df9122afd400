// A test server whose answers carry the attempt id of another attempt.
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {TestContext} from 'node:test';
import {attemptHeader} from '../../src/engines/index.ts';
import type {Address} from '../../src/shared/index.ts';

/**
Starts the server for the duration of a test and returns its address.
*/
export const startMismatchedServer = async (
	context: TestContext,
): Promise<Address> => {
	const server = createServer((incoming, response) => {
		incoming.resume();
		response.writeHead(200, {[attemptHeader]: 'attempt-of-others'});
		response.end('{"for":"others"}');
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		server.closeAllConnections();
		server.close();
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};
