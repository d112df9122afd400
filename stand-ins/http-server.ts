import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {Address} from '../src/shared/index.ts';

/**
Reads a whole body.
*/
export const readBody = async (request: IncomingMessage): Promise<Buffer> => {
	const chunks: Buffer[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Buffer);
	}

	return Buffer.concat(chunks);
};

/**
Reads a whole body as text.
*/
export const readText = async (request: IncomingMessage): Promise<string> => {
	const body = await readBody(request);
	return body.toString('utf8');
};

/**
Sends a JSON answer.
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
Starts a server at `IP:PORT`.
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
Waits; resolves early when the signal aborts.
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

/**
Starts listening at an IP number and port.
*/
export const listenAt = async (
	server: Server,
	address: Address,
): Promise<void> => {
	const [hostname = '', port = ''] = address.split(':', 2);
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(Number(port), hostname, resolve);
	});
};
