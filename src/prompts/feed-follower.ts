import {
	createKeyedLoops,
	type Address,
	type KeyedLoops,
	type LoopIteration,
} from '../shared/index.ts';
import type {FeedAnswer, FeedQuery, FeedScope} from './prompt-feed.ts';
import type {PromptChange} from './prompt-map.ts';

/**
A node whose feed is followed.
*/
export type FeedSource = {
	readonly id: string;
	readonly address: Address;
	readonly scope: FeedScope;
};

/**
Follows the feeds of other nodes as nodes and duties change.
*/
export type FeedFollower = KeyedLoops;

/**
What a follower is built from.
*/
export type FeedFollowerOptions = {
	/**
	The feeds to follow now.
	*/
	readonly sources: () => readonly FeedSource[];
	/**
	Undefined where the node does not answer.
	*/
	readonly ask: (
		source: FeedSource,
		question: FeedQuery,
	) => Promise<FeedAnswer | undefined>;
	readonly publish: (changes: readonly PromptChange[]) => void;
};

/**
Pause between two questions to one node, in milliseconds: several changes come with one answer, and
questions between regions are paid for by their bytes.
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
Builds a follower that follows nobody yet.
*/
export const createFeedFollower = (
	options: FeedFollowerOptions,
): FeedFollower =>
	createKeyedLoops(
		() => new Map(options.sources().map((source) => [keyOf(source), source])),
		(source) => createTurn(options, source),
	);

const createTurn = (
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
		publish(answer.isWhole ? wholeOf(answer.changes) : answer.changes);
		return feedIntervalMs[scope];
	};
};

const keyOf = ({id, address, scope}: FeedSource): string =>
	`${id} ${address} ${scope}`;

// What is known of a server gives way to what a whole answer says of it.
const wholeOf = (changes: readonly PromptChange[]): readonly PromptChange[] => {
	const servers = new Set(changes.map(([server]) => server));
	return [
		...[...servers].map((server) => [server, '', 0] as const),
		...changes,
	];
};
