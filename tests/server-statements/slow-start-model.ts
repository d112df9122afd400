import {createRandom} from '../../src/shared/index.ts';
import {createServerBackoffs} from '../../src/server-statements/index.ts';
import {mostInSpan} from '../most-in-span.ts';

/**
How nodes return to a server after its rest.
*/
export type ReturnStrategy = 'at once' | 'spread' | 'spread and doubled';

/**
What the return of all nodes to one server looked like.
*/
export type Return = {
	/**
	The most requests that arrived within 50 ms.
	*/
	readonly most: number;
	/**
	The longest time to a first token of requests sent in the first second, in milliseconds.
	*/
	readonly slowestMs: number;
	/**
	Milliseconds after the rest until nine tenths of the slots were used.
	*/
	readonly usedAfterMs: number;
};

/**
Requests that the server runs at the same time, and that all nodes together hold there.
*/
export const slots = 64;
const room = 96;

const stepMs = 1;
const spanMs = 3000;
const windowMs = 50;
const restMs = 3000;
const transitMs = 1;
// Time to read one prompt, one after the other, and to write the answer.
const readMs = 8;
const writeMs = 250;

type Run = {readonly node: number; readonly firstAt: number; endAt: number};

/**
Plays nodes whose callers wait for one server, which reads prompts one after the other, from the end of its rest on.
*/
export const simulateReturn = (
	way: ReturnStrategy,
	nodes: number,
	seed: number,
): Return => {
	const random = createRandom(seed);
	const rests = Array.from({length: nodes}, () => {
		const draw = way === 'at once' ? () => 0 : random.fraction;
		const known = createServerBackoffs(draw);
		known.begin('a', restMs, -restMs);
		return known;
	});
	const share = Math.max(1, Math.ceil(room / nodes));
	const isAllowed = (node: number, held: number, now: number) =>
		way === 'spread and doubled'
			? rests[node]!.canSend('a', held, now)
			: rests[node]!.remainingMs('a', now) === 0;

	const arrivals: number[] = [];
	const held = Array.from({length: nodes}, () => 0);
	let running: Run[] = [];
	let readerFreeAt = 0;
	let slowestMs = 0;
	let usedAfterMs = Infinity;
	for (let now = 0; now < spanMs; now += stepMs) {
		for (const run of running) {
			if (run.firstAt === now) {
				rests[run.node]!.recordAnswer('a', now);
			}

			if (run.endAt <= now) {
				held[run.node]! -= 1;
			}
		}

		running = running.filter(({endAt}) => endAt > now);
		for (let node = 0; node < nodes; node += 1) {
			while (held[node]! < share && isAllowed(node, held[node]!, now)) {
				readerFreeAt = Math.max(readerFreeAt, now + transitMs) + readMs;
				const firstAt = readerFreeAt;
				running.push({node, firstAt, endAt: firstAt + writeMs});
				held[node]! += 1;
				arrivals.push(now);
				slowestMs = now < 1000 ? Math.max(slowestMs, firstAt - now) : slowestMs;
			}
		}

		if (running.length >= slots * 0.9) {
			usedAfterMs = Math.min(usedAfterMs, now);
		}
	}

	return {most: mostInSpan(arrivals, windowMs), slowestMs, usedAfterMs};
};
