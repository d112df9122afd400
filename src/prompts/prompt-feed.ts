import {createLongPollWaiters} from '../shared/index.ts';
import type {PromptChange, PromptMap} from './prompt-map.ts';

/**
Which part of a node's map another node asks for: that of the engines of its own zone, or all of it.
*/
export const feedScopes = ['zone', 'all'] as const;

/**
One of the scopes.
*/
export type FeedScope = (typeof feedScopes)[number];

/**
A question for what changed in a node's map.
*/
export type FeedQuery = {
	readonly scope: FeedScope;
	/**
	Of the last answer; empty at first.
	*/
	readonly epoch: string;
	readonly after: number;
};

/**
What changed in a node's map.
*/
export type FeedAnswer = {
	/**
	Names one life of the answering node.
	*/
	readonly epoch: string;
	readonly next: number;
	/**
	Whether the changes are everything that is known, in place of what was told before.
	*/
	readonly isWhole: boolean;
	readonly changes: readonly PromptChange[];
};

/**
Tells other nodes what this node knows of the memory of engines.
*/
export type PromptFeed = {
	/**
	Takes in changes, and tells them on where they are news.
	*/
	publish(changes: readonly PromptChange[]): void;
	/**
	Held for a while when there is nothing.
	*/
	answer(question: FeedQuery): Promise<FeedAnswer>;
};

/**
What a feed is built from.
*/
export type PromptFeedOptions = {
	readonly epoch: string;
	readonly map: PromptMap;
	/**
	Whether a backend server is one of the own zone.
	*/
	readonly isInZone: (server: string) => boolean;
};

/**
How long a question is held when there is nothing to tell, in milliseconds.
*/
export const feedLongPollMs = 1900;

/**
Changes that are kept for other nodes; one that is further behind is told everything.
*/
export const maximumFeedChanges = 1000;

/**
Builds a feed without changes.
*/
export const createPromptFeed = ({
	epoch,
	map,
	isInZone,
}: PromptFeedOptions): PromptFeed => {
	const log: PromptChange[] = [];
	const held = createLongPollWaiters();
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

	const answerNow = (question: FeedQuery): FeedAnswer => {
		const missing = next - question.after;
		const isWhole =
			question.epoch !== epoch || missing < 0 || missing > log.length;
		const changes = isWhole ? map.changes() : log.slice(log.length - missing);
		return {
			epoch,
			next,
			isWhole,
			changes: changes.filter((change) => isWanted(question.scope, change)),
		};
	};

	return {
		publish(changes) {
			const news = changes.filter((change) => map.apply(change));
			next += news.length;
			log.push(...news);
			log.splice(0, Math.max(0, log.length - maximumFeedChanges));
			if (news.length > 0) {
				held.release();
			}
		},
		async answer(question) {
			if (question.epoch === epoch && question.after === next) {
				await held.wait(feedLongPollMs);
			}

			return answerNow(question);
		},
	};
};
