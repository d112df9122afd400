import type {Logger} from '../logging/index.ts';
import type {Address} from '../shared/index.ts';
import type {CacheSource} from './cache-source.ts';
import type {PromptChange} from './prompt-map.ts';

/**
An engine whose memory is read.
*/
export type ReadEngine = {readonly id: string; readonly address: Address};

/**
Reads the memory of the engines of the own zone while this node has the duty to.
*/
export type CacheReader = {
	/**
	Begins and ends reading as engines and the duty come and go; called at each tick.
	*/
	tick(): void;
	stop(): void;
};

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
	const {source, publish, smallestTokens, logger} = options;
	const reading = new Map<string, ReadState>();

	const changesOf = (
		id: string,
		events: ReadonlyArray<{readonly part: string; readonly tokens: number}>,
	): readonly PromptChange[] =>
		events
			.filter(({tokens}) => tokens === 0 || tokens >= smallestTokens)
			.map(({part, tokens}) => [id, part, tokens]);

	const readOnce = async (
		engine: ReadEngine,
		state: ReadState,
	): Promise<number> => {
		const answer = await source.events(engine, state.since);
		if (state.isOver) {
			return 0;
		}

		if (answer.kind === 'unavailable') {
			logger.debug(
				{server: engine.id, reason: answer.reason},
				'memory of an engine cannot be read',
			);
			return readRetryMs;
		}

		// A restart empties the memory; what was told of it before no longer holds.
		const isRestarted =
			state.epoch !== undefined && state.epoch !== answer.epoch;
		state.epoch = answer.epoch;
		state.since = answer.next;
		publish([
			...(isRestarted ? [[engine.id, '', 0] as const] : []),
			...changesOf(engine.id, answer.events),
		]);
		return readPauseMs;
	};

	const read = async (engine: ReadEngine, state: ReadState) => {
		const pauseMs = await readOnce(engine, state);
		if (!state.isOver) {
			state.timer = setTimeout(() => {
				void read(engine, state);
			}, pauseMs);
		}
	};

	const end = (id: string, state: ReadState) => {
		state.isOver = true;
		clearTimeout(state.timer);
		reading.delete(id);
	};

	return {
		tick() {
			const engines = new Map(
				options.engines().map((engine) => [engine.id, engine]),
			);
			for (const [id, state] of reading) {
				if (!engines.has(id)) {
					end(id, state);
				}
			}

			for (const [id, engine] of engines) {
				if (!reading.has(id)) {
					const state: ReadState = {
						since: 0,
						epoch: undefined,
						isOver: false,
						timer: undefined,
					};
					reading.set(id, state);
					void read(engine, state);
				}
			}
		},
		stop() {
			for (const [id, state] of reading) {
				end(id, state);
			}
		},
	};
};

type ReadState = {
	since: number;
	epoch: string | undefined;
	isOver: boolean;
	timer: NodeJS.Timeout | undefined;
};
