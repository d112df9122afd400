import type {Logger} from '../logging/index.ts';
import {
	createKeyedLoops,
	type Address,
	type KeyedLoops,
	type LoopIteration,
} from '../shared/index.ts';
import type {CacheAnswerHead, CacheEvent, CacheSource} from './cache-source.ts';
import type {PromptChange} from './prompt-map.ts';

/**
An engine whose memory is read.
*/
export type CacheEngine = {
	readonly id: string;
	readonly address: Address;
	/**
	Tells the lives of an engine apart that keeps its id.
	*/
	readonly startedAt?: number;
};

/**
Reads the memory of the engines of the own zone while this node has the duty to.
*/
export type CacheReader = KeyedLoops;

/**
What a reader is built from.
*/
export type CacheReaderOptions = {
	readonly source: CacheSource;
	/**
	The engines to read now; none where the duty is another node's.
	*/
	readonly engines: () => readonly CacheEngine[];
	readonly publish: (changes: readonly PromptChange[]) => void;
	readonly minimumTokens: number;
	/**
	Milliseconds between two questions to an engine at the least, where it bounds what it is asked; 0 where it does not.
	*/
	readonly minimumIntervalMs: (engine: CacheEngine) => number;
	/**
	Milliseconds for which an engine must not be asked anything; 0 where it may be.
	*/
	readonly backoffMs: (engine: CacheEngine) => number;
	/**
	Milliseconds that only rise.
	*/
	readonly clock: () => number;
	/**
	Told the head of each answer, and when its request was sent.
	*/
	readonly onHead: (
		engine: CacheEngine,
		head: CacheAnswerHead,
		sentAt: number,
	) => void;
	readonly logger: Logger;
};

/**
Pause between two questions to one engine, in milliseconds. Answers that come at once are paid for,
and a prompt's home is asked for some times a second at the most.
*/
export const cacheReadIntervalMs = 700;

/**
Pause after an engine did not answer, in milliseconds.
*/
export const cacheRetryIntervalMs = 2000;

/**
Builds a reader that reads nothing yet.
*/
export const createCacheReader = (options: CacheReaderOptions): CacheReader => {
	const livesRead = new Map<string, number | undefined>();

	// An engine that has started again holds nothing of what was read of its earlier life.
	const beginTurn = (engine: CacheEngine): LoopIteration => {
		const {id, startedAt} = engine;
		if (livesRead.has(id) && livesRead.get(id) !== startedAt) {
			options.publish([[id, '', 0]]);
		}

		livesRead.set(id, startedAt);
		return createTurn(options, engine);
	};

	return createKeyedLoops(
		() =>
			new Map(
				options
					.engines()
					.map((engine) => [`${engine.id} ${engine.startedAt ?? ''}`, engine]),
			),
		beginTurn,
	);
};

const createTurn = (
	{
		source,
		publish,
		minimumTokens,
		minimumIntervalMs,
		backoffMs,
		clock,
		onHead,
		logger,
	}: CacheReaderOptions,
	engine: CacheEngine,
): LoopIteration => {
	let since = 0;
	let epoch: string | undefined;

	return async (isOver) => {
		const leftMs = backoffMs(engine);
		if (leftMs > 0) {
			return leftMs;
		}

		const sentAt = clock();
		const answer = await source.events(engine, since, (head) => {
			onHead(engine, head, sentAt);
		});
		if (isOver()) {
			return 0;
		}

		if (answer.kind === 'unavailable') {
			logger.debug(
				{server: engine.id, reason: answer.reason},
				'memory of an engine cannot be read',
			);
			return Math.max(cacheRetryIntervalMs, minimumIntervalMs(engine));
		}

		// A restart empties the memory; what was told of it before no longer holds.
		const isRestarted = epoch !== undefined && epoch !== answer.epoch;
		({epoch, next: since} = answer);
		publish([
			...(isRestarted ? [[engine.id, '', 0] as const] : []),
			...longPartsOf(engine.id, answer.events, minimumTokens),
		]);
		return Math.max(cacheReadIntervalMs, minimumIntervalMs(engine));
	};
};

const longPartsOf = (
	id: string,
	events: readonly CacheEvent[],
	minimumTokens: number,
): readonly PromptChange[] =>
	events
		.filter(({tokens}) => tokens === 0 || tokens >= minimumTokens)
		.map(({part, tokens}) => [id, part, tokens]);
