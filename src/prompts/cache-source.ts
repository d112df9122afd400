import type {Address} from '../shared/index.ts';

/**
A prompt part that an engine has begun or ceased to keep in its memory.
*/
export type CacheEvent = {
	readonly part: string;
	/**
	Tokens that are kept now; 0 once the part has given way.
	*/
	readonly tokens: number;
};

/**
What an engine tells of its memory.
*/
export type CacheAnswer =
	| {
			readonly kind: 'events';
			/**
			Changes when the engine restarts, which empties its memory.
			*/
			readonly epoch: string;
			/**
			Where to go on reading.
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
Where the memory of engines is read.
*/
export type CacheSource = {
	/**
	What changed after `since`; held for a while when there is nothing. Never throws.

	@param onHead Told the head of the answer, if there is one.
	*/
	events(
		engine: {readonly id: string; readonly address: Address},
		since: number,
		onHead: (head: CacheAnswerHead) => void,
	): Promise<CacheAnswer>;
	close(): Promise<void>;
};
