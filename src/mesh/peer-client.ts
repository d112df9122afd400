import {unpack} from 'msgpackr';
import {Agent, request} from 'undici';
import type {Member} from '../membership/index.ts';
import {
	relayLongPollMs,
	type RegistryAnswer,
	type RegistryPosition,
	type RelayedAnswer,
} from '../registry/index.ts';
import type {FeedAnswer, FeedQuery} from '../prompts/index.ts';
import {feedLongPollMs} from '../prompts/prompt-feed.ts';
import type {Address} from '../shared/index.ts';
import {knownViewHeader, peerPaths} from './peer-listener.ts';

/**
Questions to other nodes.
*/
export type PeerClient = {
	/**
	The members that a node knows; none where its view is the one that is known already, undefined
	where it does not answer.
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
	What came after a position, held while there is nothing; undefined where the node does not
	answer.
	*/
	relayedAfter(
		peer: Address,
		after: RegistryPosition,
	): Promise<RelayedAnswer | undefined>;
	/**
	What changed in a node's map of prompts; undefined where the node does not answer.
	*/
	promptsAfter(
		peer: Address,
		question: FeedQuery,
	): Promise<FeedAnswer | undefined>;
	close(): Promise<void>;
};

/**
How long another node may take to answer, in milliseconds: some round trips between regions.
*/
export const peerCallTimeoutMs = 700;

/**
How much longer than it may be held a question to a relay of the zone takes at most, in
milliseconds: a few turns of a busy node.
*/
export const relayMarginMs = 300;

/**
Builds the questions of one node.
*/
export const createPeerClient = (): PeerClient => {
	const dispatcher = new Agent({
		connect: {timeout: peerCallTimeoutMs},
		connections: 4,
	});

	const ask = async (
		peer: Address,
		path: string,
		timeoutMs = peerCallTimeoutMs,
		headers: Readonly<Record<string, string>> = {},
	): Promise<unknown> => {
		const {statusCode, body} = await request(`http://${peer}${path}`, {
			dispatcher,
			headers,
			signal: AbortSignal.timeout(timeoutMs),
		});
		const bytes = await body.bytes();
		if (statusCode !== 200) {
			throw new Error(`the node answered ${statusCode}`);
		}

		return unpack(bytes);
	};

	return {
		async members(peer, knownView) {
			try {
				return (await ask(peer, peerPaths.members, peerCallTimeoutMs, {
					[knownViewHeader]: knownView,
				})) as readonly Member[];
			} catch {
				return undefined;
			}
		},
		async registryAfter(peer, after) {
			try {
				return (await ask(
					peer,
					`${peerPaths.registry}?${queryOf(after)}`,
				)) as RegistryAnswer;
			} catch (error) {
				return {kind: 'unavailable', reason: (error as Error).message};
			}
		},
		async relayedAfter(peer, after) {
			try {
				return (await ask(
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
				return (await ask(
					peer,
					`${peerPaths.prompts}?scope=${scope}&epoch=${epoch}&after=${after}`,
					feedLongPollMs + peerCallTimeoutMs,
				)) as FeedAnswer;
			} catch {
				return undefined;
			}
		},
		close: async () => dispatcher.destroy(),
	};
};

// Nodes of versions without eras read the revision only.
const queryOf = ({era, revision}: RegistryPosition): string =>
	`after=${revision}&era=${era}`;
