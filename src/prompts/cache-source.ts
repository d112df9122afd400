import type {Address} from '../shared/index.ts';

/**
A prompt part that an engine has started or stopped caching.
*/
export type CacheEvent = {
	readonly part: string;
	/**
	Number of tokens that are cached now; 0 after the part was evicted.
	*/
	readonly tokens: number;
};

/**
The answer of an engine to a read of its prompt cache.
*/
export type CacheAnswer =
	| {
			readonly kind: 'events';
			/**
			Changes when the engine restarts, which empties its cache.
			*/
			readonly epoch: string;
			/**
			The position at which to continue reading.
			*/
			readonly next: number;
			readonly events: readonly CacheEvent[];
	  }
	| {readonly kind: 'unavailable'; readonly reason: string};

/**
The head of an engine's answer.
*/
export type CacheAnswerHead = {
	readonly status: number;
	readonly header: (name: string) => string | undefined;
};

/**
The source from which the prompt caches of engines are read.
*/
export type CacheSource = {
	/**
	Reads the events after `since`, as a long poll. Never rejects.

	@param onHead Called with the head of the answer, if there is one.
	*/
	events(
		engine: {readonly id: string; readonly address: Address},
		since: number,
		onHead: (head: CacheAnswerHead) => void,
	): Promise<CacheAnswer>;
	close(): Promise<void>;
};
