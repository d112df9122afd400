import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {pack} from 'msgpackr';
import {viewFingerprint, type Member} from '../membership/index.ts';
import type {
	RegistryAnswer,
	RegistryCursor,
	RelayedAnswer,
} from '../registry/index.ts';
import type {FeedAnswer, FeedQuery} from '../prompts/index.ts';
import {closeServer, splitAddress, type Address} from '../shared/index.ts';

/**
Paths of the calls between nodes.
*/
export const peerPaths = {
	members: '/quillford/members',
	registry: '/quillford/registry',
	relay: '/quillford/registry-relay',
	prompts: '/quillford/prompts',
	/**
	Answers nothing: the connection is what is wanted.
	*/
	rest: '/quillford/rest',
} as const;

/**
Header in which a node that asks for members names its own view of them. Nodes of versions without it
neither send nor heed it, and are told everything.
*/
export const knownViewHeader = 'quillford-known-view';

/**
Answers other nodes.
*/
export type PeerListener = {close(): Promise<void>};

/**
What a listener for other nodes is built from.
*/
export type PeerListenerOptions = {
	/**
	Where it listens; seeds may name another address than the one between nodes.
	*/
	readonly addresses: readonly Address[];
	readonly members: () => readonly Member[];
	readonly registryAfter: (after: RegistryCursor) => RegistryAnswer;
	/**
	Like `registryAfter`, but held while there is nothing.
	*/
	readonly relayedAfter: (after: RegistryCursor) => Promise<RelayedAnswer>;
	readonly promptsAfter: (question: FeedQuery) => Promise<FeedAnswer>;
	/**
	Takes any other request: those that nodes forward.
	*/
	readonly onForwarded: (
		request: IncomingMessage,
		response: ServerResponse,
	) => void;
};

const noContent = 204;
const notFound = 404;

/**
Starts listening at all addresses.
*/
export const startPeerListener = async (
	options: PeerListenerOptions,
): Promise<PeerListener> => {
	const answer = (request: IncomingMessage, response: ServerResponse) => {
		const target = request.url ?? '';
		if (target === peerPaths.members) {
			const known = request.headers[knownViewHeader];
			sendPacked(response, membersBeyond(options.members(), known));
			return;
		}

		if (target.startsWith(`${peerPaths.registry}?`)) {
			sendPacked(response, options.registryAfter(cursorOf(target)));
			return;
		}

		if (target.startsWith(`${peerPaths.relay}?`)) {
			void sendLater(response, options.relayedAfter(cursorOf(target)));
			return;
		}

		if (target.startsWith(`${peerPaths.prompts}?`)) {
			void sendLater(response, options.promptsAfter(feedQuestionOf(target)));
			return;
		}

		if (target === peerPaths.rest) {
			response.writeHead(noContent).end();
			return;
		}

		if (target.startsWith('/quillford/')) {
			response.writeHead(notFound).end();
			return;
		}

		options.onForwarded(request, response);
	};

	const servers = await Promise.all(
		options.addresses.map(async (address) => listen(address, answer)),
	);
	return {
		async close() {
			await Promise.all(servers.map(async (server) => closeServer(server)));
		},
	};
};

/**
Starts an HTTP server at an address.
*/
export const listen = async (
	address: Address,
	answer: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<Server> => {
	const server = createServer(
		{keepAliveTimeout: idleMs, noDelay: true},
		answer,
	);
	const {host, port} = splitAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, backlog, resolve);
	});
	return server;
};

// How long connections between nodes rest, in milliseconds.
const idleMs = 30_000;
// New connections that may wait to be taken; a full queue costs a caller seconds.
const backlog = 1024;

const queryOf = (target: string): URLSearchParams =>
	new URLSearchParams(target.slice(target.indexOf('?')));

// A node that has the same view needs to be told nothing: lists grow with the number of nodes, and are
// asked for all the time.
const membersBeyond = (
	members: readonly Member[],
	knownView: string | string[] | undefined,
): readonly Member[] => (knownView === viewFingerprint(members) ? [] : members);

const cursorOf = (target: string): RegistryCursor => {
	const query = queryOf(target);
	const era = query.get('era');
	return {
		era: era === null ? undefined : Number(era),
		revision: Number(query.get('after')),
	};
};

const feedQuestionOf = (target: string): FeedQuery => {
	const query = queryOf(target);
	return {
		scope: query.get('scope') === 'zone' ? 'zone' : 'all',
		epoch: query.get('epoch') ?? '',
		after: Number(query.get('after')),
	};
};

const sendLater = async (
	response: ServerResponse,
	answer: Promise<RelayedAnswer | FeedAnswer>,
) => {
	const value = await answer;
	if (!response.destroyed) {
		sendPacked(response, value);
	}
};

const sendPacked = (response: ServerResponse, value: unknown) => {
	const body = Buffer.from(pack(value));
	response.writeHead(200, {'content-length': body.length}).end(body);
};
