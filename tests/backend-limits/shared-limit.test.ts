// Plays one limited server and few or many nodes, and counts all that reaches it, by whatever node: the server
// states its limit for all of them together.
import {test, type TestContext} from 'node:test';
import {
	mostIn,
	simulateLimit,
	type LimitArrival,
	type LimitEvent,
	type LimitPlan,
} from './limit-model.ts';
import {
	createUncoordinatedRule,
	createEqualRule,
	createSharedRule,
} from './limit-rules.ts';

// After a limit is named for the first time nodes have so long, and a server gets no more than this in any such
// span, in milliseconds.
const contactMs = 5000;
const windowMs = 4000;
const allowedIn = (perSecond: number): number =>
	1.5 * perSecond * (windowMs / 1000) + 5;

const namedAt = 2000;
const spanMs = 25_000;

const play = (change: Partial<LimitPlan> & {readonly perSecond?: number}) =>
	simulateLimit({
		seed: 1,
		createRule: createSharedRule,
		nodes: 9,
		wantedPerSecond: 8,
		limits: [{from: namedAt, perSecond: change.perSecond ?? 6}],
		spanMs,
		...change,
	});

const countIn = (
	arrivals: readonly LimitArrival[],
	from: number,
	until: number,
): number => arrivals.filter(({at}) => at >= from && at < until).length;

// The part of a limit that is left for requests.
const requestPart = 0.9;

for (const nodes of [1, 3, 9, 65, 380]) {
	for (const perSecond of [0.4, 1, 6, 40]) {
		test(`${nodes} nodes send what a limit of ${perSecond} a second allows, and use it up`, (t: TestContext) => {
			const arrivals = play({
				nodes,
				perSecond,
				wantedPerSecond: 30 / Math.min(3, nodes),
			});
			const most = mostIn(arrivals, windowMs, namedAt + contactMs);
			t.assert.ok(most <= allowedIn(perSecond), `${most} in 4 s`);
			const from = namedAt + contactMs;
			const used = countIn(arrivals, from, spanMs);
			const full =
				(Math.min(perSecond, nodes * 10) * requestPart * (spanMs - from)) /
				1000;
			t.assert.ok(used >= full * 0.7, `${used} of ${full}`);
		});
	}
}

const manyNodes = 40;
const zoneOf = (part: number): ReadonlySet<number> =>
	new Set(Array.from({length: manyNodes * part}, (_, index) => index));

const troubles: ReadonlyArray<readonly [string, LimitEvent]> = [
	[
		'a quarter of the nodes is cut off',
		{kind: 'cut', from: 8000, until: 16_000, nodes: zoneOf(0.25)},
	],
	[
		'half of the nodes is cut off',
		{kind: 'cut', from: 8000, until: 16_000, nodes: zoneOf(0.5)},
	],
	[
		'half of the nodes stands still',
		{kind: 'freeze', from: 8000, until: 13_000, nodes: zoneOf(0.5)},
	],
	[
		'half of the nodes starts again',
		{kind: 'restart', from: 10_000, nodes: zoneOf(0.5)},
	],
];

for (const [name, event] of troubles) {
	for (const perSecond of [1, 6, 25]) {
		test(`a limit of ${perSecond} a second is kept while ${name}`, (t: TestContext) => {
			for (const seed of [1, 2, 3]) {
				const arrivals = play({
					seed,
					nodes: manyNodes,
					perSecond,
					events: [event],
				});
				// What starts again knows of no limit until it is told.
				const isBound = ({at, node}: LimitArrival) =>
					!(
						event.kind === 'restart' &&
						event.nodes.has(node) &&
						at - event.from < contactMs
					);
				const most = mostIn(
					arrivals.filter((each) => isBound(each)),
					windowMs,
					namedAt + contactMs,
				);
				t.assert.ok(
					most <= allowedIn(perSecond),
					`seed ${seed}: ${most} in 4 s`,
				);
			}
		});
	}
}

test('a limit that falls, rises and ends is followed by all nodes', (t: TestContext) => {
	const arrivals = play({
		nodes: manyNodes,
		limits: [
			{from: namedAt, perSecond: 20},
			{from: 10_000, perSecond: 2},
			{from: 20_000, perSecond: 20},
			{from: 30_000, perSecond: undefined},
		],
		spanMs: 40_000,
	});
	const settledMs = 2000;
	t.assert.ok(
		mostIn(arrivals, windowMs, 10_000 + settledMs, 20_000) <= allowedIn(2),
	);
	t.assert.ok(
		countIn(arrivals, 20_000 + settledMs * 2, 30_000) >=
			20 * requestPart * 6 * 0.7,
	);
	t.assert.ok(
		mostIn(arrivals, windowMs, 20_000 + settledMs, 30_000) <= allowedIn(20),
	);
	const senders = new Set(
		arrivals.filter(({at}) => at > 30_000 + settledMs).map(({node}) => node),
	);
	t.assert.strictEqual(senders.size, manyNodes);
});

for (const [name, events] of [
	['', []],
	[
		', also from others than those without callers',
		[{kind: 'deserted', from: 6000, nodes: zoneOf(0.5)}],
	],
] as const) {
	test(`a node that starts after the limit was named hears of it before it sends${name}`, (t: TestContext) => {
		for (const seed of [1, 2, 3]) {
			const late = manyNodes - 1;
			const arrivals = play({
				seed,
				nodes: manyNodes,
				wantedPerSecond: 2,
				events: [
					...events,
					{kind: 'restart', from: 20_000, nodes: new Set([late])},
				],
				spanMs: 32_000,
			});
			const count = countIn(
				arrivals.filter(({node}) => node === late),
				20_000 + 2500,
				32_000,
			);
			// Half as much as it would like to send, which is more than an equal part of the limit.
			t.assert.ok(count <= 12, `seed ${seed}: ${count}`);
		}
	});
}

test('the check finds nodes that each count alone', (t: TestContext) => {
	const alone = play({nodes: 9, createRule: createUncoordinatedRule});
	t.assert.ok(mostIn(alone, windowMs, namedAt + contactMs) > allowedIn(6));
	const equal = play({nodes: 65, createRule: createEqualRule, perSecond: 1});
	t.assert.ok(mostIn(equal, windowMs, namedAt) > allowedIn(1));
});
