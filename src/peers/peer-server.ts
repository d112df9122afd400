import {Buffer} from 'node:buffer';
import {fastifyTRPCPlugin} from '@trpc/server/adapters/fastify';
import fastify, {type FastifyReply, type FastifyRequest} from 'fastify';
import {splitAddress, type Address} from '../shared/index.ts';
import type {ForwardEnvelope} from './forward-call.ts';
import {callToken, envelopeHeader, sealHeader} from './peer-calls.ts';
import {
	createPeerRouter,
	type PeerCallHandlers,
	type PeerContext,
	type PeerRouter,
} from './peer-router.ts';
import type {Sealer} from './seal.ts';

/**
A forwarded request as received by this node. The envelope is undefined if it carries no valid seal of a peer.
*/
export type ForwardedRequest = {
	readonly envelope: ForwardEnvelope | undefined;
	readonly body: Buffer;
	readonly reply: FastifyReply;
};

/**
Options of `startPeerServer`.
*/
export type PeerServerOptions = {
	readonly address: Address;
	readonly sealer: Sealer;
	readonly handlers: PeerCallHandlers;
	readonly maximumBodyBytes: number;
	readonly onForward: (forwarded: ForwardedRequest) => Promise<void>;
};

/**
An HTTP server that answers the calls of other nodes.
*/
export type PeerServer = {close(): Promise<void>};

/**
Starts the server for the calls of other nodes.
*/
export const startPeerServer = async (
	options: PeerServerOptions,
): Promise<PeerServer> => {
	const server = fastify({
		bodyLimit: options.maximumBodyBytes,
		forceCloseConnections: true,
	});
	const token = options.sealer.seal(Buffer.from(callToken));
	const createContext = ({
		req,
	}: {
		readonly req: FastifyRequest;
	}): PeerContext => {
		const seal = Buffer.from(
			String(req.headers[sealHeader] ?? ''),
			'base64url',
		);
		return {isPeer: seal.equals(token)};
	};

	await server.register(fastifyTRPCPlugin<PeerRouter>, {
		prefix: '/trpc',
		trpcOptions: {router: createPeerRouter(options.handlers), createContext},
	});
	server.addContentTypeParser(
		'application/octet-stream',
		{parseAs: 'buffer'},
		(_request, body, done) => {
			done(null, body);
		},
	);
	server.post('/forward', {}, async (request, reply) => {
		await options.onForward({
			envelope: readEnvelope(request, options.sealer),
			body: Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0),
			reply,
		});
		return reply;
	});
	await server.listen(splitAddress(options.address));
	return {close: async () => server.close()};
};

const readEnvelope = (
	request: FastifyRequest,
	sealer: Sealer,
): ForwardEnvelope | undefined => {
	const text = String(request.headers[envelopeHeader] ?? '');
	const seal = Buffer.from(
		String(request.headers[sealHeader] ?? ''),
		'base64url',
	);
	if (!sealer.isSealed(Buffer.from(text), seal)) {
		return undefined;
	}

	return JSON.parse(
		Buffer.from(text, 'base64url').toString('utf8'),
	) as ForwardEnvelope;
};
