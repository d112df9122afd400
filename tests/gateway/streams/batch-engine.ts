import type {Timeline} from '../../../benchmarks/model/engine-model.ts';

/**
One request at an engine.
*/
export type EngineRequest = {
	/**
	Prompt tokens that the engine has to prefill.
	*/
	readonly promptTokens: number;
	readonly tokens: number;
	/**
	0 is the most urgent.
	*/
	readonly urgency: number;
	readonly onStart: () => void;
	readonly onChunk: () => void;
	readonly onEnd: () => void;
};

/**
Speed and size of an engine.
*/
export type EngineTraits = {
	readonly batch: number;
	readonly memoryTokens: number;
	readonly stepMs: number;
	readonly stepMsPerRequest: number;
	readonly prefillTokensPerMs: number;
	/**
	Maximum number of prompt tokens that are prefilled between two tokens of the running requests.
	*/
	readonly pieceTokens: number;
	readonly tokensPerChunk: number;
};

/**
A model of an engine with continuous batching: each step generates one token of every running request and prefills one piece of a
waiting prompt. When its memory is full, the newest of the least urgent requests is preempted and prefilled again.
*/
export type BatchEngine = {
	/**
	Returns a function that withdraws the request.
	*/
	submit(request: EngineRequest): () => void;
	load(): {readonly running: number; readonly waiting: number};
	preempted(): number;
};

type Job = {
	readonly request: EngineRequest;
	readonly order: number;
	prefillLeft: number;
	generated: number;
	hasStarted: boolean;
};

const byUrgency = (jobs: readonly Job[]): readonly Job[] =>
	jobs.toSorted((left, right) => {
		const byRank = left.request.urgency - right.request.urgency;
		return byRank === 0 ? left.order - right.order : byRank;
	});

/**
Creates an engine without requests.
*/
export const createBatchEngine = (
	timeline: Timeline,
	traits: EngineTraits,
): BatchEngine => {
	let running: Job[] = [];
	let waiting: Job[] = [];
	let order = 0;
	let preempted = 0;
	let isStepping = false;

	const memoryOf = ({request, generated, prefillLeft}: Job) =>
		request.promptTokens - prefillLeft + generated;

	const inMemory = () =>
		[...running, ...waiting].reduce((sum, job) => sum + memoryOf(job), 0);

	const preempt = () => {
		const newest = byUrgency(running).at(-1);
		if (!newest) {
			return;
		}

		preempted += 1;
		running = running.filter((job) => job !== newest);
		newest.prefillLeft = newest.request.promptTokens + newest.generated;
		waiting.push(newest);
	};

	const nextPrefill = (): Job | undefined =>
		running.length >= traits.batch ? undefined : byUrgency(waiting)[0];

	const finishPrefill = (job: Job) => {
		waiting = waiting.filter((each) => each !== job);
		running.push(job);
		if (job.hasStarted) {
			return;
		}

		job.hasStarted = true;
		job.request.onStart();
	};

	const generate = (job: Job) => {
		job.generated += 1;
		const {request} = job;
		const isLast = job.generated >= request.tokens;
		if (isLast || job.generated % traits.tokensPerChunk === 0) {
			request.onChunk();
		}

		if (!isLast) {
			return;
		}

		running = running.filter((each) => each !== job);
		request.onEnd();
	};

	const step = () => {
		if (running.length + waiting.length === 0) {
			isStepping = false;
			return;
		}

		isStepping = true;
		while (running.length > 1 && inMemory() > traits.memoryTokens) {
			preempt();
		}

		const prefilled = nextPrefill();
		const piece = Math.min(traits.pieceTokens, prefilled?.prefillLeft ?? 0);
		const durationMs =
			traits.stepMs +
			traits.stepMsPerRequest * running.length +
			piece / traits.prefillTokensPerMs;
		timeline.schedule(timeline.now() + durationMs, () => {
			for (const job of running) {
				generate(job);
			}

			if (prefilled && waiting.includes(prefilled)) {
				prefilled.prefillLeft -= piece;
				if (prefilled.prefillLeft <= 0) {
					finishPrefill(prefilled);
				}
			}

			step();
		});
	};

	return {
		submit(request) {
			order += 1;
			const job: Job = {
				request,
				order,
				prefillLeft: request.promptTokens,
				generated: 0,
				hasStarted: false,
			};
			waiting.push(job);
			if (!isStepping) {
				step();
			}

			return () => {
				running = running.filter((each) => each !== job);
				waiting = waiting.filter((each) => each !== job);
			};
		},
		load: () => ({running: running.length, waiting: waiting.length}),
		preempted: () => preempted,
	};
};
