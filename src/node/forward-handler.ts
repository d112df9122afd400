import type {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {
	attemptHeader,
	notRunHeader,
	softwareVersionHeader,
	softwareVersionOf,
} from '../engines/index.ts';
import {
	answerTable,
	createGatewayError,
	renderError,
	type GatewayError,
} from '../errors/index.ts';
import {
	refusalHeader,
	type ForwardEnvelope,
	type ForwardedRequest,
} from '../peers/index.ts';
import {
	createSeenAttempts,
	parseForwardedRequest,
	type ForwardedAttempt,
	type GatewayRequest,
	type InFlight,
	type RequestChain,
	type RequestExecutor,
} from '../requests/index.ts';
import type {NodeContext} from './node-context.ts';
import {relayPieces} from './relay-pieces.ts';

/**
Options of `createForwardHandler`.
*/
export type ForwardHandlerOptions = {
	readonly context: NodeContext;
	readonly chain: RequestChain;
	readonly executor: RequestExecutor;
	readonly inFlight: InFlight;
	readonly readiness: () => Promise<GatewayError | undefined>;
};

/**
Header with the id of the backend server that the receiving node chose.
*/
export const backendServerHeader = 'x-quillford-backend-server';

/**
Creates the handler for requests that other nodes forward to this node.
*/
export const createForwardHandler = (options: ForwardHandlerOptions) => {
	const {context, inFlight} = options;
	const isFirstDelivery = createSeenAttempts();

	const serve = async (
		request: GatewayRequest,
		envelope: ForwardEnvelope,
		reply: ForwardedRequest['reply'],
	) => {
		const opened = await options.executor.openForwarded(
			request,
			envelope.attemptId,
			envelope.resumeFrom,
		);
		if (opened.isErr) {
			sendRefusal(reply, opened.error);
			return;
		}

		await relayAnswer(opened.value, envelope, reply);
	};

	const redeem = async (
		request: GatewayRequest,
		envelope: ForwardEnvelope,
		reply: ForwardedRequest['reply'],
	) => {
		const answer = await options.chain.redeem(request);
		if (answer.kind === 'refused') {
			sendRefusal(reply, answer.error);
			return;
		}

		void reply
			.code(answer.status)
			.headers({...answer.headers, [attemptHeader]: envelope.attemptId});
		await reply.send(
			answer.kind === 'complete'
				? answer.body
				: Readable.from(relayPieces(answer.pieces)),
		);
	};

	return async ({envelope, body, reply}: ForwardedRequest): Promise<void> => {
		inFlight.begin();
		const abort = new AbortController();
		reply.raw.once('close', () => {
			inFlight.end();
			if (!reply.raw.writableFinished) {
				abort.abort();
			}
		});
		// A draining node still redeems the request ids that it issued.
		const isRedemption = envelope?.purpose === 'redeem';
		const readinessError = isRedemption ? undefined : await options.readiness();
		const request = readinessError
			? undefined
			: parseForwardedRequest(envelope, body, {
					configuration: context.configuration.current()?.configuration,
					localRegion: context.localRegion(),
					now: context.clock(),
					signal: abort.signal,
					isFirstDelivery,
				});
		if (!request || request.isErr) {
			const error =
				readinessError ??
				(request?.isErr
					? request.error
					: createGatewayError('internal', 'The forwarded request is missing'));
			context.logger.warn(
				{origin: envelope?.origin, kind: error.kind},
				'forwarded request refused',
			);
			sendRefusal(reply, error);
			return;
		}

		context.logger.debug(
			{
				requestId: request.value.requestId,
				attemptId: envelope!.attemptId,
				origin: envelope!.origin,
			},
			'forwarded request received',
		);
		await (envelope!.purpose === 'serve' ? serve : redeem)(
			request.value,
			envelope!,
			reply,
		);
	};
};

const relayAnswer = async (
	attempt: ForwardedAttempt,
	envelope: ForwardEnvelope,
	reply: ForwardedRequest['reply'],
) => {
	const {upstream} = attempt;
	const contentType = upstream.headers['content-type'];
	const softwareVersion = softwareVersionOf(upstream);
	void reply.code(upstream.status).headers({
		'content-type':
			typeof contentType === 'string'
				? contentType
				: 'application/octet-stream',
		[attemptHeader]: envelope.attemptId,
		[backendServerHeader]: attempt.backendServer,
		...(softwareVersion !== undefined && {
			[softwareVersionHeader]: softwareVersion,
		}),
	});
	await reply.send(Readable.from(observeBody(attempt)));
};

// Relays bytes unchanged: the origin validates them in the same way as the answers of its own engines.
async function* observeBody(
	attempt: ForwardedAttempt,
): AsyncGenerator<Buffer, void, void> {
	let isFirstChunk = true;
	let end: 'answered' | 'failed' | 'canceled' = 'canceled';
	try {
		for await (const chunk of attempt.upstream.body) {
			if (isFirstChunk) {
				isFirstChunk = false;
				attempt.observeFirstByte();
			}

			yield chunk;
		}

		end = 'answered';
	} catch (error) {
		end = 'failed';
		throw error;
	} finally {
		attempt.finish(end);
	}
}

const sendRefusal = (reply: ForwardedRequest['reply'], error: GatewayError) => {
	const {headers, body} = renderError(error);
	const notRunHeaders =
		error.outcome === 'not-run' ? {[notRunHeader]: '1'} : {};
	void reply
		.code(answerTable[error.kind].status)
		.headers({...headers, ...notRunHeaders, [refusalHeader]: error.kind})
		.send(body);
};
