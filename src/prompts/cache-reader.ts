import type {Logger} from '../logging/index.ts';
import {
	createKeyedLoops,
	type Address,
	type KeyedLoops,
	type LoopTurn,
} from '../shared/index.ts';
import type {CacheAnswerHead, CacheEvent, CacheSource} from './cache-source.ts';
import type {PromptChange} from './prompt-map.ts';

/**
An engine whose memory is read.
*/
export type ReadEngine = {
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
	readonly engines: () => readonly ReadEngine[];
	readonly publish: (changes: readonly PromptChange[]) => void;
	readonly smallestTokens: number;
	/**
	Milliseconds between two questions to an engine at the least, where it bounds what it is asked; 0 where it does not.
	*/
	readonly pauseMs: (engine: ReadEngine) => number;
	/**
	Milliseconds for which an engine must not be asked anything; 0 where it may be.
	*/
	readonly restMs: (engine: ReadEngine) => number;
	/**
	Milliseconds that only rise.
	*/
	readonly clock: () => number;
	/**
	Told the head of each answer, and when its request was sent.
	*/
	readonly onHead: (
		engine: ReadEngine,
		head: CacheAnswerHead,
		sentAt: number,
	) => void;
	readonly logger: Logger;
};

/**
Pause between two questions to one engine, in milliseconds. Answers that come at once are paid for,
and a prompt's home is asked for some times a second at the most.
*/
export const readPauseMs = 700;

/**
Pause after an engine did not answer, in milliseconds.
*/
export const readRetryMs = 2000;

/**
Builds a reader that reads nothing yet.
*/
export const createCacheReader = (options: CacheReaderOptions): CacheReader => {
	const livesRead = new Map<string, number | undefined>();

	// An engine that has started again holds nothing of what was read of its earlier life.
	const beginTurn = (engine: ReadEngine): LoopTurn => {
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
		smallestTokens,
		pauseMs,
		restMs,
		clock,
		onHead,
		logger,
	}: CacheReaderOptions,
	engine: ReadEngine,
): LoopTurn => {
	let since = 0;
	let epoch: string | undefined;

	return async (isOver) => {
		const leftMs = restMs(engine);
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
			return Math.max(readRetryMs, pauseMs(engine));
		}

		// A restart empties the memory; what was told of it before no longer holds.
		const isRestarted = epoch !== undefined && epoch !== answer.epoch;
		({epoch, next: since} = answer);
		publish([
			...(isRestarted ? [[engine.id, '', 0] as const] : []),
			...longPartsOf(engine.id, answer.events, smallestTokens),
		]);
		return Math.max(readPauseMs, pauseMs(engine));
	};
};

const longPartsOf = (
	id: string,
	events: readonly CacheEvent[],
	smallestTokens: number,
): readonly PromptChange[] =>
	events
		.filter(({tokens}) => tokens === 0 || tokens >= smallestTokens)
		.map(({part, tokens}) => [id, part, tokens]);
