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
import type {VersionStatement} from '../stream-origins/version-history.ts';
import type {BindAddress} from '../listening/index.ts';
import {closeServer, listenAt, type Address} from '../shared/index.ts';

/**
Paths of the calls between nodes.
*/
export const peerPaths = {
	members: '/quillford/members',
	registry: '/quillford/registry',
	relay: '/quillford/registry-relay',
	prompts: '/quillford/prompts',
	softwareVersions: '/quillford/software-versions',
	/**
	Returns no content; used to open a connection in advance.
	*/
	rest: '/quillford/rest',
} as const;

/**
Header with the fingerprint of the member view of the calling node. Nodes of versions without this header neither send nor
evaluate it, and receive all members.
*/
export const knownViewHeader = 'quillford-known-view';

/**
An HTTP listener for calls of other nodes.
*/
export type PeerListener = {close(): Promise<void>};

/**
An address at which a node listens for calls of other nodes.
*/
export type PeerAddress = {
	readonly use: 'nodes' | 'seeds';
	readonly address: Address;
};

/**
Options of `startPeerListener`.
*/
export type PeerListenerOptions = {
	/**
	Addresses to listen on; the address that seeds use may differ from the peer address.
	*/
	readonly addresses: readonly PeerAddress[];
	readonly bind: BindAddress;
	readonly members: () => readonly Member[];
	readonly registryAfter: (after: RegistryCursor) => RegistryAnswer;
	/**
	Like `registryAfter`, but waits for a change (long polling).
	*/
	readonly relayedAfter: (after: RegistryCursor) => Promise<RelayedAnswer>;
	readonly promptsAfter: (query: FeedQuery) => Promise<FeedAnswer>;
	readonly softwareVersions: () => VersionStatement | undefined;
	/**
	Whether a node forwards this request. Its path is that of the caller, so it must be told by something that no caller can send.
	*/
	readonly isForwarded: (request: IncomingMessage) => boolean;
	/**
	Handles the requests that nodes forward.
	*/
	readonly onForwarded: (
		request: IncomingMessage,
		response: ServerResponse,
	) => void;
};

const noContentStatus = 204;
const notFoundStatus = 404;

/**
Starts listening on all addresses.
*/
export const startPeerListener = async (
	options: PeerListenerOptions,
): Promise<PeerListener> => {
	const answer = (request: IncomingMessage, response: ServerResponse) => {
		if (options.isForwarded(request)) {
			options.onForwarded(request, response);
			return;
		}

		const target = request.url ?? '';
		if (target === peerPaths.members) {
			const known = request.headers[knownViewHeader];
			sendPacked(response, membersUnlessKnown(options.members(), known));
			return;
		}

		if (target.startsWith(`${peerPaths.registry}?`)) {
			sendPacked(response, options.registryAfter(cursorOf(target)));
			return;
		}

		if (target.startsWith(`${peerPaths.relay}?`)) {
			void sendWhenReady(response, options.relayedAfter(cursorOf(target)));
			return;
		}

		if (target.startsWith(`${peerPaths.prompts}?`)) {
			void sendWhenReady(response, options.promptsAfter(feedQueryOf(target)));
			return;
		}

		if (target === peerPaths.softwareVersions) {
			sendPacked(response, options.softwareVersions());
			return;
		}

		if (target === peerPaths.rest) {
			response.writeHead(noContentStatus).end();
			return;
		}

		response.writeHead(notFoundStatus).end();
	};

	const servers = await Promise.all(
		options.addresses.map(async ({use, address}) =>
			options.bind(use, address, async () =>
				listen(address, answer, maximumForwardedHeadBytes),
			),
		),
	);
	return {
		async close() {
			await Promise.all(servers.map(async (server) => closeServer(server)));
		},
	};
};

/**
Starts an HTTP server at an address. Heads are limited by their size, not by the number of their lines.
*/
export const listen = async (
	address: Address,
	answer: (request: IncomingMessage, response: ServerResponse) => void,
	maximumHeadBytes = defaultHeadBytes,
): Promise<Server> => {
	const server = createServer(
		{
			keepAliveTimeout: idleTimeoutMs,
			noDelay: true,
			maxHeaderSize: maximumHeadBytes,
		},
		answer,
	);
	server.maxHeadersCount = 0;
	await listenAt(server, address);
	return server;
};

const defaultHeadBytes = 16_384;

/**
Maximum size of the head of a forwarded request or response, in bytes: that of a caller or backend server, and what nodes add.
*/
export const maximumForwardedHeadBytes = 131_072;

// Time after which idle connections between nodes are closed, in milliseconds.
const idleTimeoutMs = 30_000;

const queryOf = (target: string): URLSearchParams =>
	new URLSearchParams(target.slice(target.indexOf('?')));

// Returns no members to a node with the same view, because lists grow with the number of nodes and are requested
// continuously.
const membersUnlessKnown = (
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

const feedQueryOf = (target: string): FeedQuery => {
	const query = queryOf(target);
	return {
		scope: query.get('scope') === 'zone' ? 'zone' : 'all',
		epoch: query.get('epoch') ?? '',
		after: Number(query.get('after')),
	};
};

const sendWhenReady = async (
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
