import type {Address} from '../shared/index.ts';
import type {FeedAnswer, FeedQuestion, FeedScope} from './prompt-feed.ts';
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
Follows the feeds of other nodes.
*/
export type FeedFollower = {
	/**
	Begins and ends following as nodes and duties change; called at each tick.
	*/
	tick(): void;
	stop(): void;
};

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
		question: FeedQuestion,
	) => Promise<FeedAnswer | undefined>;
	readonly publish: (changes: readonly PromptChange[]) => void;
};

/**
Pause between two questions to one node, in milliseconds: several changes come with one answer.
*/
export const feedPauseMs = 300;

/**
Pause after a node did not answer, in milliseconds.
*/
export const feedRetryMs = 1500;

/**
Builds a follower that follows nobody yet.
*/
export const createFeedFollower = (
	options: FeedFollowerOptions,
): FeedFollower => {
	const following = new Map<string, FollowState>();

	const followOnce = async (
		source: FeedSource,
		state: FollowState,
	): Promise<number> => {
		const {epoch, after} = state;
		const {scope} = source;
		const answer = await options.ask(source, {scope, epoch, after});
		if (state.isOver) {
			return 0;
		}

		if (!answer) {
			return feedRetryMs;
		}

		state.epoch = answer.epoch;
		state.after = answer.next;
		options.publish(answer.isWhole ? wholeOf(answer.changes) : answer.changes);
		return feedPauseMs;
	};

	const follow = async (source: FeedSource, state: FollowState) => {
		const pauseMs = await followOnce(source, state);
		if (!state.isOver) {
			state.timer = setTimeout(() => {
				void follow(source, state);
			}, pauseMs);
		}
	};

	const end = (key: string, state: FollowState) => {
		state.isOver = true;
		clearTimeout(state.timer);
		following.delete(key);
	};

	return {
		tick() {
			const sources = new Map(
				options.sources().map((source) => [keyOf(source), source]),
			);
			for (const [key, state] of following) {
				if (!sources.has(key)) {
					end(key, state);
				}
			}

			for (const [key, source] of sources) {
				if (!following.has(key)) {
					const state: FollowState = {
						epoch: '',
						after: 0,
						isOver: false,
						timer: undefined,
					};
					following.set(key, state);
					void follow(source, state);
				}
			}
		},
		stop() {
			for (const [key, state] of following) {
				end(key, state);
			}
		},
	};
};

type FollowState = {
	epoch: string;
	after: number;
	isOver: boolean;
	timer: NodeJS.Timeout | undefined;
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
