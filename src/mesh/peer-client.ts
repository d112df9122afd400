import {unpack} from 'msgpackr';
import {request} from 'undici';
import type {Member} from '../membership/index.ts';
import {
	relayLongPollMs,
	type RegistryAnswer,
	type RegistryPosition,
	type RelayedAnswer,
} from '../registry/index.ts';
import type {FeedAnswer, FeedQuery} from '../prompts/index.ts';
import type {VersionStatement} from '../stream-origins/version-history.ts';
import {feedLongPollMs} from '../prompts/prompt-feed.ts';
import {
	createHttpAgent,
	readWithIdleTimeout,
	withIdleTimeout,
	type Address,
} from '../shared/index.ts';
import {knownViewHeader, peerPaths} from './peer-listener.ts';

/**
Client for HTTP calls to other nodes.
*/
export type PeerClient = {
	/**
	Returns the members that a peer knows: an empty list if its view matches `knownView`, undefined if it does not answer.
	*/
	members(
		peer: Address,
		knownView: string,
	): Promise<readonly Member[] | undefined>;
	registryAfter(
		peer: Address,
		after: RegistryPosition,
	): Promise<RegistryAnswer>;
	/**
	Returns the registry changes after a position by long polling; undefined if the peer does not answer.
	*/
	relayedAfter(
		peer: Address,
		after: RegistryPosition,
	): Promise<RelayedAnswer | undefined>;
	/**
	Returns the changes in a peer's map of cached prompts by long polling; undefined if the peer does not answer.
	*/
	promptsAfter(
		peer: Address,
		query: FeedQuery,
	): Promise<FeedAnswer | undefined>;
	/**
	Returns which software versions of servers a peer knows of; undefined if it does not answer or knows none.
	*/
	softwareVersions(peer: Address): Promise<VersionStatement | undefined>;
	close(): Promise<void>;
};

/**
Timeout of a call to another node, in milliseconds: several round trips between regions. It counts until the answer begins, and
then between its parts, because a large configuration takes seconds over a full link.
*/
export const peerCallTimeoutMs = 700;

/**
Time that a call to a relay in the zone may take beyond the long-poll time, in milliseconds: a few event loop iterations
of a busy node.
*/
export const relayMarginMs = 300;

/**
Creates the client of one node.
*/
export const createPeerClient = (): PeerClient => {
	const dispatcher = createHttpAgent({
		connectTimeoutMs: peerCallTimeoutMs,
		connections: 4,
	});

	const fetchPacked = async (
		peer: Address,
		path: string,
		timeoutMs = peerCallTimeoutMs,
		headers: Readonly<Record<string, string>> = {},
	): Promise<unknown> =>
		withIdleTimeout(timeoutMs, peerCallTimeoutMs, async (timeout) => {
			const {statusCode, body} = await request(`http://${peer}${path}`, {
				dispatcher,
				headers,
				signal: timeout.signal,
			});
			timeout.extend();
			const bytes = await readWithIdleTimeout(body, timeout);
			if (statusCode !== 200) {
				throw new Error(`peer answered with status ${statusCode}`);
			}

			return unpack(bytes) as unknown;
		});

	return {
		async members(peer, knownView) {
			try {
				return (await fetchPacked(peer, peerPaths.members, peerCallTimeoutMs, {
					[knownViewHeader]: knownView,
				})) as readonly Member[];
			} catch {
				return undefined;
			}
		},
		async registryAfter(peer, after) {
			try {
				return (await fetchPacked(
					peer,
					`${peerPaths.registry}?${queryOf(after)}`,
				)) as RegistryAnswer;
			} catch (error) {
				return {kind: 'unavailable', reason: (error as Error).message};
			}
		},
		async relayedAfter(peer, after) {
			try {
				return (await fetchPacked(
					peer,
					`${peerPaths.relay}?${queryOf(after)}`,
					relayLongPollMs + relayMarginMs,
				)) as RelayedAnswer;
			} catch {
				return undefined;
			}
		},
		async promptsAfter(peer, {scope, epoch, after}) {
			try {
				return (await fetchPacked(
					peer,
					`${peerPaths.prompts}?scope=${scope}&epoch=${epoch}&after=${after}`,
					feedLongPollMs + peerCallTimeoutMs,
				)) as FeedAnswer;
			} catch {
				return undefined;
			}
		},
		async softwareVersions(peer) {
			try {
				return (await fetchPacked(peer, peerPaths.softwareVersions)) as
					VersionStatement | undefined;
			} catch {
				return undefined;
			}
		},
		close: async () => dispatcher.destroy(),
	};
};

// Nodes of versions without eras read only the revision.
const queryOf = ({era, revision}: RegistryPosition): string =>
	`after=${revision}&era=${era}`;
