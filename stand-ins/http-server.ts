import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';

export {listenAt} from '../src/shared/index.ts';

/**
Reads the complete body of a request.
*/
export const readBody = async (request: IncomingMessage): Promise<Buffer> => {
	const chunks: Buffer[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Buffer);
	}

	return Buffer.concat(chunks);
};

/**
Reads the complete body of a request as UTF-8 text.
*/
export const readText = async (request: IncomingMessage): Promise<string> => {
	const body = await readBody(request);
	return body.toString('utf8');
};

/**
Sends a response with a JSON body.
*/
export const sendJson = (
	response: ServerResponse,
	status: number,
	body: unknown,
	headers: Readonly<Record<string, string>> = {},
): void => {
	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(JSON.stringify(body));
};

/**
Starts an HTTP server at `IP:PORT`. Closes the connection if the handler rejects.
*/
export const listen = async (
	address: string,
	handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>,
): Promise<void> => {
	const [host, port] = address.split(':', 2);
	const server = createServer((request, response) => {
		handle(request, response).catch(() => {
			response.destroy();
		});
	});
	server.keepAliveTimeout = 60_000;
	return new Promise((resolve) => {
		server.listen(Number(port), host, resolve);
	});
};

/**
Waits for the given time. Resolves early if the signal aborts.
*/
export const sleep = async (
	milliseconds: number,
	signal?: AbortSignal,
): Promise<void> =>
	new Promise((resolve) => {
		const timer = setTimeout(resolve, milliseconds);
		signal?.addEventListener(
			'abort',
			() => {
				clearTimeout(timer);
				resolve();
			},
			{once: true},
		);
	});
