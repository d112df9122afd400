import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Arrival} from '../../stand-ins/statement-server.ts';
import {maximumInWindow} from '../most-in-span.ts';
import {waitUntil} from '../until.ts';
import {
	sendSteadily,
	setUp,
	streamResponse,
	singleResponse,
} from './statement-scene.ts';

// Time in which nodes apply a limit that is stated for the first time, in milliseconds: a fifth of what a slow network
// is allowed.
const applyMs = 1000;

// Within any such span a server receives at most 1.5 times its limit, and a few requests more.
const spanMs = 4000;
const allowedIn = (perSecond: number): number =>
	1.5 * perSecond * (spanMs / 1000) + 5;

const mostIn = (arrivals: readonly Arrival[], from: number): number =>
	maximumInWindow(
		arrivals.map(({at}) => at).filter((at) => at >= from),
		spanMs,
	);

const cases = [
	{name: 'single responses', answer: singleResponse, limit: 6, route: {}},
	{name: 'streams', answer: streamResponse, limit: 6, route: {}},
	{
		name: 'streams that may be resumed',
		answer: streamResponse,
		limit: 3,
		route: {isResumable: true},
	},
	{
		name: 'a limit below one a node',
		answer: singleResponse,
		limit: 0.5,
		route: {},
	},
] as const;

for (const {name, answer, limit, route} of cases) {
	test(`${name}: a server receives from all nodes together no more than its stated limit`, async (t: TestContext) => {
		const scene = await setUp(t, 4, answer, route);
		const [limited] = scene.servers;
		await sendSteadily(scene, 80, 500);
		limited!.setLimit(limit);
		const statedAt = performance.now();
		const answers = await sendSteadily(scene, 80, applyMs + 2 * spanMs);
		const most = mostIn(limited!.arrivals, statedAt + applyMs);
		t.assert.ok(
			most <= allowedIn(limit),
			`${most} in ${spanMs} ms, allowed ${allowedIn(limit)}`,
		);
		t.assert.deepStrictEqual(
			answers.filter(({status}) => status !== 200),
			[],
		);
	});
}

test('a lowered limit is enforced, and the server is used fully again when it ends', async (t: TestContext) => {
	const scene = await setUp(t, 3, singleResponse);
	const [limited] = scene.servers;
	await sendSteadily(scene, 80, 500);
	limited!.setLimit(20);
	await sendSteadily(scene, 80, applyMs + spanMs);
	limited!.setLimit(3);
	const loweredAt = performance.now();
	await sendSteadily(scene, 80, applyMs + spanMs);
	const most = mostIn(limited!.arrivals, loweredAt + applyMs);
	t.assert.ok(most <= allowedIn(3), `${most} in ${spanMs} ms`);
	limited!.setLimit(undefined);
	await sendSteadily(scene, 80, 2000);
	const endedAt = performance.now();
	await sendSteadily(scene, 80, 2000);
	const again = limited!.arrivals.filter(({at}) => at >= endedAt).length;
	// A third of the requests is the share of the server; half of that shows that all nodes use it.
	t.assert.ok(again >= (160 / 3) * 0.5, `${again} of 160`);
});

test('a limited server is used up to its limit, by urgent requests first, and the rest is refused at once', async (t: TestContext) => {
	const limit = 12;
	const scene = await setUp(t, 1, singleResponse);
	const [limited] = scene.servers;
	await sendSteadily(scene, 20, 500);
	limited!.setLimit(limit);
	await sendSteadily(scene, 40, applyMs);
	const startedAt = performance.now();
	const answers = await sendSteadily(scene, 40, 2 * spanMs, (index) =>
		index % 16 < 8 ? '/a/draft' : '/urgent/draft',
	);
	const accepted = limited!.arrivals.filter(
		({at, method}) => at >= startedAt && method === 'POST',
	);
	const most = mostIn(limited!.arrivals, startedAt);
	t.assert.ok(most <= allowedIn(limit), `${most} in ${spanMs} ms`);
	const full = (limit * 2 * spanMs) / 1000;
	t.assert.ok(accepted.length >= full * 0.7, `${accepted.length} of ${full}`);
	const urgent = accepted.filter(({body}) =>
		body.startsWith('/urgent/'),
	).length;
	t.assert.ok(
		urgent > accepted.length * 0.6,
		`${urgent} urgent of ${accepted.length}`,
	);
	t.assert.deepStrictEqual(
		answers.filter(({status}) => status !== 200 && status !== 503),
		[],
	);
});

test('a node that has just started applies a limit that it receives from the others', async (t: TestContext) => {
	const limit = 4;
	const scene = await setUp(t, 4, singleResponse);
	const [limited] = scene.servers;
	limited!.setLimit(limit);
	await sendSteadily(scene, 80, 2000);
	await scene.deployment.restart(3);
	await waitUntil(() => scene.deployment.nodes[3]!.isReady());
	await sleep(applyMs);
	const from = performance.now();
	await sendSteadily(scene, 80, spanMs + 500);
	const most = mostIn(limited!.arrivals, from);
	t.assert.ok(most <= allowedIn(limit), `${most} in ${spanMs} ms`);
});
