import TinyQueue from 'tinyqueue';

/**
Orders what happens in virtual time.
*/
export type Timeline = {
	now(): number;
	/**
	Does something at a time, or now if that has passed.
	*/
	schedule(time: number, act: () => void): void;
	run(until: number): void;
};

/**
Builds an empty timeline.
*/
export const createTimeline = (): Timeline => {
	type Item = {
		readonly time: number;
		readonly order: number;
		readonly act: () => void;
	};
	const queue = new TinyQueue<Item>([], (left, right) =>
		left.time === right.time
			? left.order - right.order
			: left.time - right.time,
	);
	let now = 0;
	let order = 0;
	return {
		now: () => now,
		schedule(time, act) {
			order += 1;
			queue.push({time: Math.max(time, now), order, act});
		},
		run(until) {
			for (
				let item = queue.peek();
				item && item.time <= until;
				item = queue.peek()
			) {
				queue.pop();
				now = item.time;
				item.act();
			}

			now = until;
		},
	};
};

/**
One request at an engine.
*/
export type EngineJob = {
	readonly prompt: string;
	/**
	Work on the prompt where nothing of it is cached, in milliseconds.
	*/
	readonly prefillMs: number;
	readonly tokens: number;
	readonly onFirstToken: () => void;
	readonly onEnd: () => void;
};

/**
A model of one backend server: slots, a short line, a prefix cache, steps that slow with the batch.
*/
export type EngineModel = {
	/**
	False where it refuses.
	*/
	submit(job: EngineJob): boolean;
	load(): {readonly running: number; readonly queued: number};
	/**
	From now on everything takes this many times as long.
	*/
	setSlowness(factor: number): void;
	/**
	Loses its cache and whatever it runs.
	*/
	restart(): void;
	setDown(isDown: boolean): void;
	isDown(): boolean;
};

/**
How many requests it runs at once, how fast, and how many prefixes it keeps.
*/
export type EngineSizes = {
	readonly slots: number;
	readonly stepMs: number;
	/**
	Share of the work on a prompt that remains where its prefix is cached.
	*/
	readonly warmShare: number;
	readonly cachedPrefixes: number;
};

const queueShare = 0.5;

/**
 Starts with nothing to do; the first prompt of each prefix costs its whole work.
 */
export const createEngineModel = (
	timeline: Timeline,
	sizes: EngineSizes,
): EngineModel => {
	const cached = new Set<string>();
	let waiting: EngineJob[] = [];
	let running = 0;
	let slowness = 1;
	let isDown = false;
	let life = 0;
	let prefillFreeAt = 0;

	const wasCached = (prompt: string): boolean => {
		const isWarm = cached.delete(prompt);
		cached.add(prompt);
		if (cached.size > sizes.cachedPrefixes) {
			cached.delete(cached.values().next().value!);
		}

		return isWarm;
	};

	const begin = (job: EngineJob) => {
		running += 1;
		const own = life;
		const share = wasCached(job.prompt) ? sizes.warmShare : 1;
		// Prompts are worked on one after the other; a long one holds up the next.
		const start = Math.max(timeline.now(), prefillFreeAt);
		prefillFreeAt = start + job.prefillMs * share * slowness;
		const step = sizes.stepMs * (1 + running / sizes.slots) * slowness;
		timeline.schedule(prefillFreeAt + step, () => {
			if (own === life) {
				job.onFirstToken();
			}
		});
		timeline.schedule(prefillFreeAt + step * job.tokens, () => {
			if (own !== life) {
				return;
			}

			running -= 1;
			job.onEnd();
			const next = waiting.shift();
			if (next) {
				begin(next);
			}
		});
	};

	return {
		submit(job) {
			if (isDown || waiting.length >= sizes.slots * queueShare) {
				return false;
			}

			if (running < sizes.slots) {
				begin(job);
			} else {
				waiting.push(job);
			}

			return true;
		},
		load: () => ({running, queued: waiting.length}),
		setSlowness(factor) {
			slowness = factor;
		},
		restart() {
			life += 1;
			running = 0;
			waiting = [];
			prefillFreeAt = 0;
			cached.clear();
		},
		setDown(value) {
			isDown = value;
		},
		isDown: () => isDown,
	};
};
