import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import type {FastifyReply} from 'fastify';
import {
	createGatewayError,
	errorBody,
	renderError,
	type GatewayError,
} from '../errors/index.ts';
import type {Answer, StreamEnd} from '../requests/index.ts';
import {abortResponse} from '../shared/index.ts';

/**
 Writes an answer to the caller.
 @param reply
 @param answer
 @param isLeaving whether to close the connection after the answer, so that the
 caller connects to another entry VM next.
 */
export const writeAnswer = async (
	reply: FastifyReply,
	answer: Answer,
	isLeaving: boolean,
): Promise<void> => {
	const connection: Readonly<Record<string, string>> = isLeaving
		? {connection: 'close'}
		: {};
	switch (answer.kind) {
		case 'complete': {
			await reply
				.code(answer.status)
				.headers({...answer.headers, ...connection})
				.send(answer.body);
			return;
		}

		case 'refused': {
			await writeError(reply, answer.error, connection);
			return;
		}

		case 'stream': {
			void reply.hijack();
			reply.raw.writeHead(answer.status, {
				...answer.headers,
				...connection,
				'cache-control': 'no-store',
			});
			const isEventStream =
				answer.headers['content-type']?.startsWith('text/event-stream') ??
				false;
			await writeStream(reply.raw, answer.pieces, isEventStream);
		}
	}
};

/**
Writes an error in place of an answer.
*/
export const writeError = async (
	reply: FastifyReply,
	error: GatewayError,
	headers: Readonly<Record<string, string>> = {},
): Promise<void> => {
	const rendered = renderError(error);
	await reply
		.code(rendered.status)
		.headers({...rendered.headers, ...headers})
		.send(rendered.body);
};

const writeStream = async (
	response: ServerResponse,
	pieces: AsyncGenerator<string, StreamEnd, void>,
	isEventStream: boolean,
): Promise<void> => {
	for (;;) {
		const next = await pieces.next();
		if (next.done) {
			endStream(response, next.value, isEventStream);
			return;
		}

		if (response.destroyed) {
			await pieces.return({kind: 'canceled', tokens: 0});
			return;
		}

		if (!response.write(next.value)) {
			await waitForDrain(response);
		}
	}
};

const waitForDrain = async (response: ServerResponse): Promise<void> => {
	const abortController = new AbortController();
	const options = {signal: abortController.signal};
	await Promise.race([
		once(response, 'drain', options),
		once(response, 'close', options),
	]).catch(() => undefined);
	abortController.abort();
};

// An incomplete stream must not appear complete: the caller receives an error event or, if the
// response is not an event stream, a broken connection.
const endStream = (
	response: ServerResponse,
	end: StreamEnd,
	isEventStream: boolean,
): void => {
	if (end.kind === 'complete') {
		response.end();
		return;
	}

	if (!isEventStream) {
		abortResponse(response);
		return;
	}

	const error =
		end.kind === 'broken'
			? end.error
			: createGatewayError('canceled', 'The request was canceled');
	response.end(`event: error\ndata: ${JSON.stringify(errorBody(error))}\n\n`);
};
