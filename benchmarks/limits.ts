// Three ways to hold an account to its limit over all nodes, played on the same requests: a bucket in each node with a
// share of the limit by its demand, tokens that one node of a zone hands out, and counts that are added up over all nodes.
import {createUsageWindow, type WindowLimit} from '../src/limits/index.ts';
import {createRandom} from '../src/shared/index.ts';
import {
	allowedInWindow,
	modelWindowMs,
	mostInWindow,
	simulateLimits,
	type ModelRequest,
	type ModelResult,
} from '../tests/limits/limits-model.ts';
import {printTable, type Row} from './table.ts';

const limit: WindowLimit = {perSecond: 47_000, burst: 47_000};
const spanMs = 30_000;
const hotAt = 10_000;
const usualLevel = 0.55;
const hotLevel = 4.1;
// Usage is told so often, and takes as long to come about.
const intervalMs = 400;
const longPrompt = {tokens: 17_000, part: 0.03};
const shortPrompt = {tokens: 430, part: 0.77};
const plainTokens = 200;
const meanTokens =
	longPrompt.tokens * longPrompt.part +
	shortPrompt.tokens * shortPrompt.part +
	plainTokens * (1 - longPrompt.part - shortPrompt.part);

const fleets = [
	[3, 3, 3],
	[13, 13, 14, 10, 13, 11],
	[33, 33, 32, 32, 33, 32],
	Array.from({length: 14}, () => 27),
];

type Way = (
	zones: readonly number[],
	requests: readonly ModelRequest[],
) => ModelResult;

const sizeOf = (draw: number): number => {
	if (draw < longPrompt.part) {
		return longPrompt.tokens;
	}

	return draw < longPrompt.part + shortPrompt.part
		? shortPrompt.tokens
		: plainTokens;
};

const requestsOf = (
	nodes: number,
	levelAt: (at: number) => number,
): readonly ModelRequest[] => {
	const random = createRandom(5);
	const requests: ModelRequest[] = [];
	for (let at = 0; at < spanMs;) {
		const perMs = (limit.perSecond * levelAt(at)) / meanTokens / 1000;
		at += -Math.log(1 - random.fraction()) / perMs;
		const count = sizeOf(random.fraction());
		requests.push({at, node: random.below(nodes), count});
	}

	return requests;
};

type Holder = {
	readonly window: ReturnType<typeof createUsageWindow>;
	tokens: number;
	filledAt: number;
	part: number;
};

// Lets through what a bucket holds, into debt by one request: no bucket of many holds a long prompt.
const playBuckets = (
	count: number,
	holderOf: (node: number) => number,
	requests: readonly ModelRequest[],
): ModelResult => {
	const holders: readonly Holder[] = Array.from({length: count}, () => ({
		window: createUsageWindow(modelWindowMs),
		tokens: limit.burst / count,
		filledAt: 0,
		part: 1 / count,
	}));
	const passed: ModelRequest[] = [];
	const refused: ModelRequest[] = [];
	let toldAt = 0;
	for (const request of requests) {
		const now = request.at;
		if (now - toldAt >= intervalMs) {
			toldAt = now;
			const asked = holders.map(({window}) => window.usage(now).requested + 1);
			const total = asked.reduce((sum, each) => sum + each, 0);
			for (const [index, holder] of holders.entries()) {
				holder.part = asked[index]! / total;
			}
		}

		const holder = holders[holderOf(request.node)]!;
		const refill = ((now - holder.filledAt) / 1000) * limit.perSecond;
		holder.tokens = Math.min(
			limit.burst * holder.part,
			holder.tokens + refill * holder.part,
		);
		holder.filledAt = now;
		holder.window.recordRequested(request.count, now);
		if (holder.tokens > 0) {
			holder.tokens -= request.count;
			passed.push(request);
		} else {
			refused.push(request);
		}
	}

	return {passed, refused, forgotten: 0};
};

const zoneOf = (zones: readonly number[], node: number): number => {
	let first = 0;
	return zones.findIndex((count) => {
		first += count;
		return node < first;
	});
};

const ways: Readonly<Record<string, Way>> = {
	'shares by demand': (zones, requests) =>
		playBuckets(sumOf(zones), (node) => node, requests),
	'lease of a zone': (zones, requests) =>
		playBuckets(zones.length, (node) => zoneOf(zones, node), requests),
	'counts added up': (zones, requests) =>
		simulateLimits({zones, limit, requests, seed: 5}),
};

const sumOf = (zones: readonly number[]): number =>
	zones.reduce((sum, count) => sum + count, 0);

const refusedPart = (
	way: Way,
	zones: readonly number[],
	requests: readonly ModelRequest[],
): number => way(zones, requests).refused.length / requests.length;

/**
Measures what each way refuses below the limit, and how much it lets through beyond it.
*/
export const measureLimits = (): readonly Row[] => {
	const rows: Row[] = [];
	for (const zones of fleets) {
		const nodes = sumOf(zones);
		const usual = requestsOf(nodes, () => usualLevel);
		const hot = requestsOf(nodes, (at) => (at < hotAt ? usualLevel : hotLevel));
		for (const [name, way] of Object.entries(ways)) {
			const {passed} = way(zones, hot);
			const during = passed.filter(({at}) => at >= hotAt + modelWindowMs);
			const tokens = during.reduce((sum, {count}) => sum + count, 0);
			const seconds = (spanMs - hotAt - modelWindowMs) / 1000;
			rows.push({
				nodes,
				way: name,
				refusedBelowLimitPercent: refusedPart(way, zones, usual) * 100,
				mostInWindowByAllowed: mostInWindow(passed) / allowedInWindow(limit),
				rateByLimitWhileHot: tokens / seconds / limit.perSecond,
			});
		}
	}

	printTable(rows);
	return rows;
};
