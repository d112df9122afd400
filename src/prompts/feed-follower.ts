import {
	createKeyedLoops,
	type Address,
	type KeyedLoops,
	type LoopIteration,
} from '../shared/index.ts';
import type {FeedAnswer, FeedQuery, FeedScope} from './prompt-feed.ts';
import type {PromptChange} from './prompt-map.ts';

/**
A node whose prompt feed is followed.
*/
export type FeedSource = {
	readonly id: string;
	readonly address: Address;
	readonly scope: FeedScope;
};

/**
Follows the prompt feeds of other nodes, and adapts as nodes and their roles change.
*/
export type FeedFollower = KeyedLoops;

/**
The feeds that a follower reads, and the target of their changes.
*/
export type FeedFollowerOptions = {
	/**
	The feeds to follow now.
	*/
	readonly sources: () => readonly FeedSource[];
	/**
	Sends a query to a node; returns undefined if the node does not answer.
	*/
	readonly ask: (
		source: FeedSource,
		query: FeedQuery,
	) => Promise<FeedAnswer | undefined>;
	readonly publish: (changes: readonly PromptChange[]) => void;
};

/**
Pause between two queries to one node, in milliseconds. It batches several changes into one answer, because traffic
between regions is billed by the byte.
*/
export const feedIntervalMs: Readonly<Record<FeedScope, number>> = {
	all: 300,
	zone: 1000,
};

/**
Pause after a node did not answer, in milliseconds.
*/
export const feedRetryIntervalMs = 1500;

/**
Creates a follower that follows no node yet.
*/
export const createFeedFollower = (
	options: FeedFollowerOptions,
): FeedFollower =>
	createKeyedLoops(
		() => new Map(options.sources().map((source) => [keyOf(source), source])),
		(source) => createIteration(options, source),
	);

const createIteration = (
	{ask, publish}: FeedFollowerOptions,
	source: FeedSource,
): LoopIteration => {
	const {scope} = source;
	let epoch = '';
	let after = 0;

	return async (isOver) => {
		const answer = await ask(source, {scope, epoch, after});
		if (isOver()) {
			return 0;
		}

		if (!answer) {
			return feedRetryIntervalMs;
		}

		({epoch, next: after} = answer);
		publish(answer.isWhole ? replacementOf(answer.changes) : answer.changes);
		return feedIntervalMs[scope];
	};
};

const keyOf = ({id, address, scope}: FeedSource): string =>
	`${id} ${address} ${scope}`;

// A full answer about a server replaces what was known of that server.
const replacementOf = (
	changes: readonly PromptChange[],
): readonly PromptChange[] => {
	const servers = new Set(changes.map(([server]) => server));
	return [
		...[...servers].map((server) => [server, '', 0] as const),
		...changes,
	];
};
