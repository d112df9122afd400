import {test, type TestContext} from 'node:test';
import type {StatementServer} from '../../stand-ins/statement-server.ts';
import {
	sendSteadily,
	setUp,
	streamResponse,
	twoRegions,
	singleResponse,
	type Scene,
} from './statement-scene.ts';

// Time for which a node may still send to a server after it relayed the server's announcement, in milliseconds.
const drainMs = 3000;

const requestsAfter = (server: StatementServer, from: number): number =>
	server.arrivals.filter(({at, method}) => method === 'POST' && at >= from)
		.length;

// Returns the time by which all nodes have relayed an announcement and the last allowed request has arrived.
const announceAndDrain = async (
	scene: Scene,
	server: StatementServer,
): Promise<number> => {
	server.announceLeaving();
	await sendSteadily(scene, 80, 1500);
	const relayedAt = performance.now();
	await sendSteadily(scene, 80, drainMs);
	return relayedAt + drainMs;
};

const cases = [
	{name: 'single responses', answer: singleResponse, route: {}},
	{name: 'stream heads', answer: streamResponse, route: {}},
	{
		name: 'heads of resumable streams',
		answer: streamResponse,
		route: {isResumable: true},
	},
] as const;

for (const {name, answer, route} of cases) {
	test(`a shutdown announced only in ${name} stops new requests within 3 s`, async (t: TestContext) => {
		const scene = await setUp(t, 3, answer, route);
		const [leaving] = scene.servers;
		await sendSteadily(scene, 80, 500);
		const from = await announceAndDrain(scene, leaving!);
		const answers = await sendSteadily(scene, 80, 1500);
		t.assert.strictEqual(requestsAfter(leaving!, from), 0);
		t.assert.deepStrictEqual(
			answers.filter(({status}) => status !== 200),
			[],
		);
	});
}

test('a shutdown announced only in refusals stops new requests within 3 s', async (t: TestContext) => {
	const scene = await setUp(t, 3, singleResponse);
	const [leaving] = scene.servers;
	leaving!.shed();
	const from = await announceAndDrain(scene, leaving!);
	await sendSteadily(scene, 80, 1500);
	t.assert.strictEqual(requestsAfter(leaving!, from), 0);
});

test('a registry entry that still says ready does not cancel an announced shutdown', async (t: TestContext) => {
	const scene = await setUp(t, 3, singleResponse);
	const [leaving] = scene.servers;
	const from = await announceAndDrain(scene, leaving!);
	leaving!.register();
	await sendSteadily(scene, 80, 1500);
	t.assert.strictEqual(requestsAfter(leaving!, from), 0);
});

test('a server that starts again under its id after its shutdown receives requests', async (t: TestContext) => {
	const scene = await setUp(t, 3, singleResponse);
	const [leaving] = scene.servers;
	await announceAndDrain(scene, leaving!);
	const from = performance.now();
	leaving!.restart(1000);
	await sendSteadily(scene, 80, 2000);
	t.assert.ok(requestsAfter(leaving!, from) > 10);
});

test('another region serves when all servers of a region are leaving', async (t: TestContext) => {
	const scene = await setUp(t, 2, singleResponse, {}, twoRegions);
	await sendSteadily(scene, 40, 500);
	const from = await announceAndDrain(scene, scene.servers[0]!);
	const answers = await sendSteadily(scene, 40, 1000);
	t.assert.strictEqual(requestsAfter(scene.servers[0]!, from), 0);
	t.assert.deepStrictEqual(
		answers.filter(({status}) => status !== 200),
		[],
	);
});

test('requests are refused at once when all servers are leaving', async (t: TestContext) => {
	const scene = await setUp(t, 1, singleResponse);
	const from = await announceAndDrain(scene, scene.servers[0]!);
	const answers = await sendSteadily(scene, 40, 1000);
	t.assert.strictEqual(requestsAfter(scene.servers[0]!, from), 0);
	t.assert.ok(answers.every(({status}) => status === 503));
	t.assert.ok(answers.every(({retryAfter = 0}) => retryAfter > 0));
});
