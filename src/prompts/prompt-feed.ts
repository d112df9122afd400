import {createLongPollWaiters} from '../shared/index.ts';
import type {PromptChange, PromptMap} from './prompt-map.ts';

/**
The parts of a node's map that another node can query: the engines in the answering node's zone, or all engines.
*/
export const feedScopes = ['zone', 'all'] as const;

/**
The scope of a query.
*/
export type FeedScope = (typeof feedScopes)[number];

/**
A query for the changes of a node's map.
*/
export type FeedQuery = {
	readonly scope: FeedScope;
	/**
	The epoch of the last answer; empty in the first query.
	*/
	readonly epoch: string;
	readonly after: number;
};

/**
The changes of a node's map.
*/
export type FeedAnswer = {
	/**
	Identifies one run of the answering node's process.
	*/
	readonly epoch: string;
	readonly next: number;
	/**
	Whether the changes are the full map, which replaces earlier answers.
	*/
	readonly isWhole: boolean;
	readonly changes: readonly PromptChange[];
};

/**
Serves this node's knowledge of the engines' prompt caches to other nodes.
*/
export type PromptFeed = {
	/**
	Applies changes to the map, and adds those that are new to the feed.
	*/
	publish(changes: readonly PromptChange[]): void;
	/**
	Answers a query; a long poll while there are no changes.
	*/
	answer(query: FeedQuery): Promise<FeedAnswer>;
};

/**
The map that a feed serves.
*/
export type PromptFeedOptions = {
	readonly epoch: string;
	readonly map: PromptMap;
	/**
	Whether a backend server is in this node's zone.
	*/
	readonly isInZone: (server: string) => boolean;
};

/**
Maximum duration of a long poll without changes, in milliseconds.
*/
export const feedLongPollMs = 1900;

/**
Maximum number of changes retained for other nodes. A node that is further behind receives the full map.
*/
export const maximumFeedChanges = 1000;

/**
Creates a feed without changes.
*/
export const createPromptFeed = ({
	epoch,
	map,
	isInZone,
}: PromptFeedOptions): PromptFeed => {
	const log: PromptChange[] = [];
	const waiters = createLongPollWaiters();
	let next = 0;

	const isWanted = (scope: FeedScope, [server]: PromptChange): boolean => {
		switch (scope) {
			case 'all': {
				return true;
			}

			case 'zone': {
				return isInZone(server);
			}
		}
	};

	const answerNow = (query: FeedQuery): FeedAnswer => {
		const missing = next - query.after;
		const isWhole =
			query.epoch !== epoch || missing < 0 || missing > log.length;
		const changes = isWhole ? map.changes() : log.slice(log.length - missing);
		return {
			epoch,
			next,
			isWhole,
			changes: changes.filter((change) => isWanted(query.scope, change)),
		};
	};

	return {
		publish(changes) {
			const newChanges = changes.filter((change) => map.apply(change));
			next += newChanges.length;
			log.push(...newChanges);
			log.splice(0, Math.max(0, log.length - maximumFeedChanges));
			if (newChanges.length > 0) {
				waiters.release();
			}
		},
		async answer(query) {
			if (query.epoch === epoch && query.after === next) {
				await waiters.wait(feedLongPollMs);
			}

			return answerNow(query);
		},
	};
};
