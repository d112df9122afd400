import {test, type TestContext} from 'node:test';
import type {
	Arrival,
	StatementServer,
} from '../../stand-ins/statement-server.ts';
import {
	nodes,
	sendSteadily,
	setUp,
	twoRegions,
	singleResponse,
} from './statement-scene.ts';

const backoffMs = 3000;
// Time in which requests may still arrive that were in flight when a node received the refusal, in milliseconds.
const inFlightMs = 500;
// A node may send this many requests to a server during a backoff.
const allowedPerBackoff = 2;

const pathOf = (index: number): string => `/a/${index % nodes}`;

// Maximum requests of one node during a backoff that the server requested from it.
const mostWithinBackoff = ({arrivals}: StatementServer): number => {
	const byNode = Map.groupBy(arrivals, ({body}) => body);
	const counts = byNode
		.values()
		.flatMap((ofNode) =>
			ofNode.map((arrival) => withinBackoff(arrival, ofNode)),
		);
	return Math.max(0, ...counts);
};

const withinBackoff = (
	{at, isRefused}: Arrival,
	arrivals: readonly Arrival[],
): number =>
	isRefused
		? arrivals.filter(
				(other) => other.at > at + inFlightMs && other.at < at + backoffMs,
			).length
		: 0;

test('a server that refuses with Retry-After receives no more from that node until the backoff has passed', async (t: TestContext) => {
	const scene = await setUp(t, 3, singleResponse);
	const [backingOff] = scene.servers;
	await sendSteadily(scene, 80, 500, pathOf);
	backingOff!.shed(String(backoffMs / 1000));
	const answers = await sendSteadily(scene, 80, 2 * backoffMs, pathOf);
	const most = mostWithinBackoff(backingOff!);
	t.assert.ok(
		most <= allowedPerBackoff,
		`${most}, allowed ${allowedPerBackoff}`,
	);
	t.assert.deepStrictEqual(
		answers.filter(({status}) => status !== 200),
		[],
	);
});

test('nodes without a Retry-After from a server continue to send to it', async (t: TestContext) => {
	const scene = await setUp(t, 2, singleResponse);
	const [backingOff] = scene.servers;
	backingOff!.shed(String(backoffMs / 1000), (body) => body === '/a/0');
	await sendSteadily(scene, 80, 1000, pathOf);
	const from = performance.now();
	await sendSteadily(scene, 80, 1500, pathOf);
	const senders = new Set(
		backingOff!.arrivals.filter(({at}) => at >= from).map(({body}) => body),
	);
	t.assert.ok(!senders.has('/a/0'));
	// The other nodes of its zone; those of the other zone have a server of their own.
	t.assert.ok(senders.size >= nodes / 2 - 1);
});

test('requests are refused at once while all servers are in backoff, with the time until the first backoff ends', async (t: TestContext) => {
	const scene = await setUp(t, 2, singleResponse);
	for (const server of scene.servers) {
		server.shed('30');
	}

	await sendSteadily(scene, 80, 1000, pathOf);
	const from = performance.now();
	const answers = await sendSteadily(scene, 40, 1000, pathOf);
	for (const {arrivals} of scene.servers) {
		t.assert.deepStrictEqual(
			arrivals.filter(({at}) => at >= from),
			[],
		);
	}

	// Between 30 s after the first refusal and 30 s after the last one, minus the time that has passed.
	t.assert.ok(answers.every(({status}) => status === 503));
	t.assert.ok(
		answers.every(({retryAfter = 0}) => retryAfter > 25 && retryAfter <= 31),
		JSON.stringify(answers.map(({retryAfter}) => retryAfter)),
	);
});

test('another region serves when all servers of a region are in backoff', async (t: TestContext) => {
	const scene = await setUp(t, 2, singleResponse, {}, twoRegions);
	const [backingOff, other] = scene.servers;
	await sendSteadily(scene, 40, 500, pathOf);
	backingOff!.shed('30');
	await sendSteadily(scene, 40, 1000, pathOf);
	const from = performance.now();
	const answers = await sendSteadily(scene, 40, 1500, pathOf);
	t.assert.deepStrictEqual(
		answers.filter(({status}) => status !== 200),
		[],
	);
	t.assert.strictEqual(
		backingOff!.arrivals.filter(({at}) => at >= from).length,
		0,
	);
	t.assert.ok(other!.arrivals.filter(({at}) => at >= from).length >= 50);
});

test('a backoff applies to one incarnation of a server', async (t: TestContext) => {
	const scene = await setUp(t, 2, singleResponse);
	const [backingOff] = scene.servers;
	backingOff!.shed('60');
	await sendSteadily(scene, 80, 1000, pathOf);
	const from = performance.now();
	backingOff!.restart(1000);
	await sendSteadily(scene, 80, 2000, pathOf);
	t.assert.ok(backingOff!.arrivals.filter(({at}) => at >= from).length > 10);
});
