// Guards against nodes that together exceed the limit that a server states for all of them: each node receives the limit only in
// responses to its own requests or from other nodes. Simulates one limited server with few or many nodes and counts all requests.
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

// Time after the first statement of a limit from which it must be obeyed, and the window in which requests are counted, in
// milliseconds.
const convergenceMs = 5000;
const windowMs = 4000;
const allowedIn = (perSecond: number): number =>
	1.5 * perSecond * (windowMs / 1000) + 5;

const statedAt = 2000;
const spanMs = 25_000;

const simulate = (change: Partial<LimitPlan> & {readonly perSecond?: number}) =>
	simulateLimit({
		seed: 1,
		createRule: createSharedRule,
		nodes: 9,
		wantedPerSecond: 8,
		limits: [{from: statedAt, perSecond: change.perSecond ?? 6}],
		spanMs,
		...change,
	});

const countIn = (
	arrivals: readonly LimitArrival[],
	from: number,
	until: number,
): number => arrivals.filter(({at}) => at >= from && at < until).length;

// Fraction of a limit that is available for requests.
const requestPart = 0.9;

for (const nodes of [1, 3, 9, 65, 380]) {
	for (const perSecond of [0.4, 1, 6, 40]) {
		test(`${nodes} nodes stay within a limit of ${perSecond} per second and use it up`, (t: TestContext) => {
			const arrivals = simulate({
				nodes,
				perSecond,
				wantedPerSecond: 30 / Math.min(3, nodes),
			});
			const most = mostIn(arrivals, windowMs, statedAt + convergenceMs);
			t.assert.ok(most <= allowedIn(perSecond), `${most} in 4 s`);
			const from = statedAt + convergenceMs;
			const used = countIn(arrivals, from, spanMs);
			const full =
				(Math.min(perSecond, nodes * 10) * requestPart * (spanMs - from)) /
				1000;
			t.assert.ok(used >= full * 0.7, `${used} of ${full}`);
		});
	}
}

const manyNodes = 40;
const firstNodes = (part: number): ReadonlySet<number> =>
	new Set(Array.from({length: manyNodes * part}, (_, index) => index));

const faults: ReadonlyArray<readonly [string, LimitEvent]> = [
	[
		'a quarter of the nodes is partitioned',
		{kind: 'cut', from: 8000, until: 16_000, nodes: firstNodes(0.25)},
	],
	[
		'half of the nodes is partitioned',
		{kind: 'cut', from: 8000, until: 16_000, nodes: firstNodes(0.5)},
	],
	[
		'half of the nodes is suspended',
		{kind: 'freeze', from: 8000, until: 13_000, nodes: firstNodes(0.5)},
	],
	[
		'half of the nodes restarts',
		{kind: 'restart', from: 10_000, nodes: firstNodes(0.5)},
	],
];

for (const [name, event] of faults) {
	for (const perSecond of [1, 6, 25]) {
		test(`a limit of ${perSecond} per second is obeyed while ${name}`, (t: TestContext) => {
			for (const seed of [1, 2, 3]) {
				const arrivals = simulate({
					seed,
					nodes: manyNodes,
					perSecond,
					events: [event],
				});
				// A restarted node knows no limit until it receives one.
				const shouldObey = ({at, node}: LimitArrival) =>
					!(
						event.kind === 'restart' &&
						event.nodes.has(node) &&
						at - event.from < convergenceMs
					);
				const most = mostIn(
					arrivals.filter((each) => shouldObey(each)),
					windowMs,
					statedAt + convergenceMs,
				);
				t.assert.ok(
					most <= allowedIn(perSecond),
					`seed ${seed}: ${most} in 4 s`,
				);
			}
		});
	}
}

test('all nodes follow a limit that falls, rises and ends', (t: TestContext) => {
	const arrivals = simulate({
		nodes: manyNodes,
		limits: [
			{from: statedAt, perSecond: 20},
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
		', even if half of the nodes have no callers',
		[{kind: 'deserted', from: 6000, nodes: firstNodes(0.5)}],
	],
] as const) {
	test(`a node that starts after a limit was stated receives it before it sends${name}`, (t: TestContext) => {
		for (const seed of [1, 2, 3]) {
			const late = manyNodes - 1;
			const arrivals = simulate({
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
			// Half of the requests that it receives, which is more than an equal share of the limit.
			t.assert.ok(count <= 12, `seed ${seed}: ${count}`);
		}
	});
}

test('the check detects nodes that do not coordinate', (t: TestContext) => {
	const uncoordinated = simulate({
		nodes: 9,
		createRule: createUncoordinatedRule,
	});
	t.assert.ok(
		mostIn(uncoordinated, windowMs, statedAt + convergenceMs) > allowedIn(6),
	);
	const equal = simulate({
		nodes: 65,
		createRule: createEqualRule,
		perSecond: 1,
	});
	t.assert.ok(mostIn(equal, windowMs, statedAt) > allowedIn(1));
});
