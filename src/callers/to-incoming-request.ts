import {Buffer} from 'node:buffer';
import type {FastifyReply, FastifyRequest} from 'fastify';
import type {IncomingRequest} from '../requests/index.ts';

/**
Converts an HTTP request. Its signal aborts if the caller closes the connection before the response is complete.
*/
export const toIncomingRequest = (
	request: FastifyRequest,
	reply: FastifyReply,
): IncomingRequest => {
	const abortController = new AbortController();
	reply.raw.once('close', () => {
		if (!reply.raw.writableFinished) {
			abortController.abort();
		}
	});
	return {
		method: request.method,
		url: request.url,
		headers: request.headers,
		body: Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0),
		signal: abortController.signal,
	};
};
