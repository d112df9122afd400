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
An engine whose prompt cache is read.
*/
export type CacheEngine = {
	readonly id: string;
	readonly address: Address;
	/**
	Distinguishes the incarnations of an engine that keeps its id.
	*/
	readonly startedAt?: number;
};

/**
Reads the prompt caches of the engines in this node's zone while this node holds that role.
*/
export type CacheReader = KeyedLoops;

/**
The engines that a reader polls, its pacing, and the target of the changes.
*/
export type CacheReaderOptions = {
	readonly source: CacheSource;
	/**
	The engines to read now; none while another node holds the role.
	*/
	readonly engines: () => readonly CacheEngine[];
	readonly publish: (changes: readonly PromptChange[]) => void;
	readonly minimumTokens: number;
	/**
	Minimum interval between two reads of an engine that limits its requests, in milliseconds; 0 if it has no limit.
	*/
	readonly minimumIntervalMs: (engine: CacheEngine) => number;
	/**
	Remaining backoff during which an engine must not be sent any requests, in milliseconds; 0 if there is none.
	*/
	readonly backoffMs: (engine: CacheEngine) => number;
	/**
	Monotonic time in milliseconds.
	*/
	readonly clock: () => number;
	/**
	Called with the head of each answer and the time at which its request was sent.
	*/
	readonly onHead: (
		engine: CacheEngine,
		head: CacheAnswerHead,
		sentAt: number,
	) => void;
	readonly logger: Logger;
};

/**
Pause between two reads of one engine, in milliseconds. An answer that comes at once costs a call, and the engine that
caches a prompt is looked up only a few times per second.
*/
export const cacheReadIntervalMs = 700;

/**
Pause after an engine did not answer, in milliseconds.
*/
export const cacheRetryIntervalMs = 2000;

/**
Creates a reader that reads no engine yet.
*/
export const createCacheReader = (options: CacheReaderOptions): CacheReader => {
	const startTimes = new Map<string, number | undefined>();

	// A restarted engine caches nothing of what was read from its earlier incarnation.
	const beginIteration = (engine: CacheEngine): LoopIteration => {
		const {id, startedAt} = engine;
		if (startTimes.has(id) && startTimes.get(id) !== startedAt) {
			options.publish([[id, '', 0]]);
		}

		startTimes.set(id, startedAt);
		return createIteration(options, engine);
	};

	return createKeyedLoops(
		() =>
			new Map(
				options
					.engines()
					.map((engine) => [`${engine.id} ${engine.startedAt ?? ''}`, engine]),
			),
		beginIteration,
	);
};

const createIteration = (
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
				'prompt cache of an engine cannot be read',
			);
			return Math.max(cacheRetryIntervalMs, minimumIntervalMs(engine));
		}

		// A restart empties the cache, so that earlier changes are no longer valid.
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
