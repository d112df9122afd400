// Two engines in need named a limit in their answers, the requests a second that each takes from all nodes together, and
// went on to get ten times as much as one of them had named: requests for them came late, while engines beside them had
// room. They named it from one moment on, in each answer; nothing changed in what the nodes of their regions sent
// there, and no line of any node named it.
//
// No node read the limit, and room at a server was shared by what runs there at once, never by how many requests come in a
// second: a server that answers fast looks idle however many it is sent. A node that keeps the limit by itself alone still
// lets it through as many times as there are nodes. That the limit does reach the nodes shows in the line that each
// writes with its first answer from the server; that it is not for want of other room, in the test of four
// servers, where all requests are served beside the limit.
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {
	startGateways,
	type GatewayDeployment,
} from '../../stand-ins/gateways.ts';
import {
	startLimitedServer,
	type Arrival,
	type LimitedAnswer,
	type LimitedServer,
} from '../../stand-ins/limited-server.ts';
import {createStandInRegistry, writeRoutes} from '../../stand-ins/registry.ts';
import {standInHeaders} from '../../stand-ins/stand-in-headers.ts';
import type {Route} from '../../src/routes/index.ts';
import {mostInSpan} from '../most-in-span.ts';
import {until} from '../until.ts';
import {documentOf, routeOf, serviceOf} from './fixtures.ts';

const zones = {'north-1': 'upland', 'north-2': 'upland'};
const nodes = 8;
const deadlineMs = 4000;

// After a limit is named for the first time nodes have so long to take it in, in milliseconds: a fifth of what a slow
// network is given.
const takingInMs = 1000;

// In any such span a server gets no more than half as much again as its limit allows, and a few on top.
const spanMs = 4000;
const allowedIn = (perSecond: number): number =>
	1.5 * perSecond * (spanMs / 1000) + 5;

const whole: LimitedAnswer = {beforeMs: 40, events: 0, pauseMs: 0};
const stream: LimitedAnswer = {beforeMs: 60, events: 6, pauseMs: 25};

type Scene = {
	readonly deployment: GatewayDeployment;
	readonly servers: readonly LimitedServer[];
};

type Answer = {readonly status: number; readonly totalMs: number};

const setUp = async (
	t: TestContext,
	servers: number,
	answer: LimitedAnswer,
	route: Partial<Route> = {},
): Promise<Scene> => {
	const registry = createStandInRegistry();
	const deployment = await startGateways(zones, nodes, registry);
	writeRoutes(
		registry,
		documentOf({
			routes: [
				routeOf({
					kind: answer.events > 0 ? 'streaming' : 'idempotent',
					...route,
				}),
				routeOf({
					...route,
					name: 'urgent',
					pathPrefix: '/urgent/',
					priority: 0,
					kind: answer.events > 0 ? 'streaming' : 'idempotent',
				}),
			],
			services: [serviceOf()],
		}),
	);
	const started = await Promise.all(
		Array.from({length: servers}, async (_, index) =>
			startLimitedServer(
				registry,
				{
					id: `engine-${index}`,
					service: 'engine',
					address: deployment.nextAddress(),
					availabilityZone: index % 2 === 0 ? 'north-1' : 'north-2',
					slots: 32,
				},
				answer,
			),
		),
	);
	t.after(async () => {
		await deployment.stop();
		await Promise.all(started.map(async (server) => server.close()));
	});
	await until(() =>
		deployment.nodes.every(
			(node) => node.isReady() && node.entryAddresses('', '').length === nodes,
		),
	);
	// Nodes know by then how many they are.
	await sleep(2600);
	return {deployment, servers: started};
};

let attempts = 0;

const ask = async (address: string, path = '/a/draft'): Promise<Answer> => {
	attempts += 1;
	const startedAt = performance.now();
	const totalMs = () => performance.now() - startedAt;
	try {
		const answer = await request(`http://${address}${path}`, {
			method: 'POST',
			body: path,
			headers: {
				host: 'site.example',
				[standInHeaders.requestId]: `attempt-${attempts}`,
				[standInHeaders.remainingMs]: String(deadlineMs),
			},
		});
		await answer.body.text();
		return {status: answer.statusCode, totalMs: totalMs()};
	} catch {
		return {status: 0, totalMs: totalMs()};
	}
};

// Requests at an even pace, by all nodes in turn.
const play = async (
	{deployment: {callerAddresses}}: Scene,
	perSecond: number,
	lengthMs: number,
	pathOf: (index: number) => string = () => '/a/draft',
): Promise<readonly Answer[]> => {
	const answers: Array<Promise<Answer>> = [];
	const startedAt = performance.now();
	for (let index = 0; performance.now() - startedAt < lengthMs; index += 1) {
		const address = callerAddresses[index % callerAddresses.length]!;
		answers.push(ask(address, pathOf(index)));
		const dueAt = startedAt + ((index + 1) * 1000) / perSecond;
		await sleep(Math.max(0, dueAt - performance.now()));
	}

	return Promise.all(answers);
};

const mostIn = (arrivals: readonly Arrival[], from: number): number =>
	mostInSpan(
		arrivals.map(({at}) => at).filter((at) => at >= from),
		spanMs,
	);

const cases = [
	{name: 'whole answers', answer: whole, limit: 6, route: {}},
	{name: 'streams', answer: stream, limit: 6, route: {}},
	{
		name: 'streams that may be resumed',
		answer: stream,
		limit: 3,
		route: {isResumable: true},
	},
	{name: 'a limit below one a node', answer: whole, limit: 0.5, route: {}},
] as const;

for (const {name, answer, limit, route} of cases) {
	test(`${name}: a server gets from all nodes together what it has named`, async (t: TestContext) => {
		const scene = await setUp(t, 4, answer, route);
		const [limited] = scene.servers;
		await play(scene, 80, 500);
		limited!.name(limit);
		const namedAt = performance.now();
		const answers = await play(scene, 80, takingInMs + 2 * spanMs);
		const most = mostIn(limited!.arrivals, namedAt + takingInMs);
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

test('a limit that falls is kept, and the server is used again when it ends', async (t: TestContext) => {
	const scene = await setUp(t, 3, whole);
	const [limited] = scene.servers;
	await play(scene, 80, 500);
	limited!.name(20);
	await play(scene, 80, takingInMs + spanMs);
	limited!.name(3);
	const fellAt = performance.now();
	await play(scene, 80, takingInMs + spanMs);
	const most = mostIn(limited!.arrivals, fellAt + takingInMs);
	t.assert.ok(most <= allowedIn(3), `${most} in ${spanMs} ms`);
	limited!.name(undefined);
	await play(scene, 80, 2000);
	const endedAt = performance.now();
	await play(scene, 80, 2000);
	const again = limited!.arrivals.filter(({at}) => at >= endedAt).length;
	// A third of the requests is its part of them; half of that shows that all nodes use it.
	t.assert.ok(again >= (160 / 3) * 0.5, `${again} of 160`);
});

test('a limited server is used up, by the urgent first; the rest is refused at once', async (t: TestContext) => {
	const limit = 12;
	const scene = await setUp(t, 1, whole);
	const [limited] = scene.servers;
	await play(scene, 20, 500);
	limited!.name(limit);
	await play(scene, 40, takingInMs);
	const startedAt = performance.now();
	const answers = await play(scene, 40, 2 * spanMs, (index) =>
		index % 16 < 8 ? '/a/draft' : '/urgent/draft',
	);
	const taken = limited!.arrivals.filter(
		({at, method}) => at >= startedAt && method === 'POST',
	);
	const most = mostIn(limited!.arrivals, startedAt);
	t.assert.ok(most <= allowedIn(limit), `${most} in ${spanMs} ms`);
	const full = (limit * 2 * spanMs) / 1000;
	t.assert.ok(taken.length >= full * 0.7, `${taken.length} of ${full}`);
	const urgent = taken.filter(({body}) => body.startsWith('/urgent/')).length;
	t.assert.ok(
		urgent > taken.length * 0.6,
		`${urgent} urgent of ${taken.length}`,
	);
	t.assert.deepStrictEqual(
		answers.filter(({status}) => status !== 200 && status !== 503),
		[],
	);
});

test('a node that has just started keeps to a limit that it is told by the others', async (t: TestContext) => {
	const limit = 4;
	const scene = await setUp(t, 4, whole);
	const [limited] = scene.servers;
	limited!.name(limit);
	await play(scene, 80, 2000);
	await scene.deployment.restart(3);
	await until(() => scene.deployment.nodes[3]!.isReady());
	await sleep(takingInMs);
	const from = performance.now();
	await play(scene, 80, spanMs + 500);
	const most = mostIn(limited!.arrivals, from);
	t.assert.ok(most <= allowedIn(limit), `${most} in ${spanMs} ms`);
});
