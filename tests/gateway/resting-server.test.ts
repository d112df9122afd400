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

const restMs = 3000;
// Requests that were under way when a node received the refusal may still arrive, in milliseconds.
const inFlightMs = 500;
// A node may send this many requests to a resting server.
const allowedPerRest = 2;

const pathOf = (index: number): string => `/a/${index % nodes}`;

// The most requests of one node within a rest that the server asked it for.
const mostWithinRest = ({arrivals}: StatementServer): number => {
	const byNode = Map.groupBy(arrivals, ({body}) => body);
	const counts = byNode
		.values()
		.flatMap((ofNode) => ofNode.map((arrival) => withinRest(arrival, ofNode)));
	return Math.max(0, ...counts);
};

const withinRest = (
	{at, isRefused}: Arrival,
	arrivals: readonly Arrival[],
): number =>
	isRefused
		? arrivals.filter(
				(other) => other.at > at + inFlightMs && other.at < at + restMs,
			).length
		: 0;

test('a server that refuses with Retry-After receives no more from that node until the rest is over', async (t: TestContext) => {
	const scene = await setUp(t, 3, singleResponse);
	const [resting] = scene.servers;
	await sendSteadily(scene, 80, 500, pathOf);
	resting!.shed(String(restMs / 1000));
	const answers = await sendSteadily(scene, 80, 2 * restMs, pathOf);
	const most = mostWithinRest(resting!);
	t.assert.ok(most <= allowedPerRest, `${most}, allowed ${allowedPerRest}`);
	t.assert.deepStrictEqual(
		answers.filter(({status}) => status !== 200),
		[],
	);
});

test('nodes that a resting server did not ask go on sending to it', async (t: TestContext) => {
	const scene = await setUp(t, 2, singleResponse);
	const [resting] = scene.servers;
	resting!.shed(String(restMs / 1000), (body) => body === '/a/0');
	await sendSteadily(scene, 80, 1000, pathOf);
	const from = performance.now();
	await sendSteadily(scene, 80, 1500, pathOf);
	const senders = new Set(
		resting!.arrivals.filter(({at}) => at >= from).map(({body}) => body),
	);
	t.assert.ok(!senders.has('/a/0'));
	// The other nodes of its zone; those of the other zone have a server nearby.
	t.assert.ok(senders.size >= nodes / 2 - 1);
});

test('requests are refused at once, until the first rest ends, when all servers rest', async (t: TestContext) => {
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

	// Between 30 s after the first refusal and 30 s after the last one, less what has passed.
	t.assert.ok(answers.every(({status}) => status === 503));
	t.assert.ok(
		answers.every(({retryAfter = 0}) => retryAfter > 25 && retryAfter <= 31),
		JSON.stringify(answers.map(({retryAfter}) => retryAfter)),
	);
});

test('another region serves when all servers of a region rest', async (t: TestContext) => {
	const scene = await setUp(t, 2, singleResponse, {}, twoRegions);
	const [resting, other] = scene.servers;
	await sendSteadily(scene, 40, 500, pathOf);
	resting!.shed('30');
	await sendSteadily(scene, 40, 1000, pathOf);
	const from = performance.now();
	const answers = await sendSteadily(scene, 40, 1500, pathOf);
	t.assert.deepStrictEqual(
		answers.filter(({status}) => status !== 200),
		[],
	);
	t.assert.strictEqual(
		resting!.arrivals.filter(({at}) => at >= from).length,
		0,
	);
	t.assert.ok(other!.arrivals.filter(({at}) => at >= from).length >= 50);
});

test('a rest belongs to one life of a server', async (t: TestContext) => {
	const scene = await setUp(t, 2, singleResponse);
	const [resting] = scene.servers;
	resting!.shed('60');
	await sendSteadily(scene, 80, 1000, pathOf);
	const from = performance.now();
	resting!.restart(1000);
	await sendSteadily(scene, 80, 2000, pathOf);
	t.assert.ok(resting!.arrivals.filter(({at}) => at >= from).length > 10);
});
