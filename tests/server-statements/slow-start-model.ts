import {createRandom} from '../../src/shared/index.ts';
import {createServerBackoffs} from '../../src/server-statements/index.ts';
import {maximumInWindow} from '../most-in-span.ts';

/**
Strategy by which nodes resume sending to a server after its backoff.
*/
export type ReturnStrategy = 'at once' | 'spread' | 'spread and doubled';

/**
Result of a simulation.
*/
export type ReturnResult = {
	/**
	Maximum number of requests that arrived within 50 ms.
	*/
	readonly most: number;
	/**
	Maximum time to first token of the requests sent in the first second, in milliseconds.
	*/
	readonly slowestMs: number;
	/**
	Milliseconds from the end of the backoff until nine tenths of the slots were used.
	*/
	readonly usedAfterMs: number;
};

/**
Concurrent requests that the server runs, and requests that all nodes together may have in flight there.
*/
export const slots = 64;
const capacity = 96;

const stepMs = 1;
const durationMs = 3000;
const windowMs = 50;
const backoffMs = 3000;
const transitMs = 1;
// Time to process one prompt (prompts are processed sequentially) and to generate its response.
const prefillMs = 8;
const generationMs = 250;

type Run = {readonly node: number; readonly firstAt: number; endAt: number};

/**
Simulates nodes whose callers wait for one server, which processes one prompt at a time, from the end of its backoff.
*/
export const simulateReturn = (
	strategy: ReturnStrategy,
	nodes: number,
	seed: number,
): ReturnResult => {
	const random = createRandom(seed);
	const backoffs = Array.from({length: nodes}, () => {
		const randomFraction = strategy === 'at once' ? () => 0 : random.fraction;
		const known = createServerBackoffs(randomFraction);
		known.begin('a', backoffMs, -backoffMs);
		return known;
	});
	const share = Math.max(1, Math.ceil(capacity / nodes));
	const isAllowed = (node: number, held: number, now: number) =>
		strategy === 'spread and doubled'
			? backoffs[node]!.canSend('a', held, now)
			: backoffs[node]!.remainingMs('a', now) === 0;

	const arrivals: number[] = [];
	const held = Array.from({length: nodes}, () => 0);
	let running: Run[] = [];
	let prefillFreeAt = 0;
	let slowestMs = 0;
	let usedAfterMs = Infinity;
	for (let now = 0; now < durationMs; now += stepMs) {
		for (const run of running) {
			if (run.firstAt === now) {
				backoffs[run.node]!.recordAnswer('a', now);
			}

			if (run.endAt <= now) {
				held[run.node]! -= 1;
			}
		}

		running = running.filter(({endAt}) => endAt > now);
		for (let node = 0; node < nodes; node += 1) {
			while (held[node]! < share && isAllowed(node, held[node]!, now)) {
				prefillFreeAt = Math.max(prefillFreeAt, now + transitMs) + prefillMs;
				const firstAt = prefillFreeAt;
				running.push({node, firstAt, endAt: firstAt + generationMs});
				held[node]! += 1;
				arrivals.push(now);
				slowestMs = now < 1000 ? Math.max(slowestMs, firstAt - now) : slowestMs;
			}
		}

		if (running.length >= slots * 0.9) {
			usedAfterMs = Math.min(usedAfterMs, now);
		}
	}

	return {most: maximumInWindow(arrivals, windowMs), slowestMs, usedAfterMs};
};
