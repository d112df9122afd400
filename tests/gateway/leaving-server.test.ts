import {test, type TestContext} from 'node:test';
import type {StatingServer} from '../../stand-ins/stating-server.ts';
import {
	play,
	setUp,
	stream,
	twoRegions,
	whole,
	type Scene,
} from './stating-scene.ts';

// A node may send to a server for this long after it has passed on the server's announcement, in milliseconds.
const drainMs = 3000;

const requestsAfter = (server: StatingServer, from: number): number =>
	server.arrivals.filter(({at, method}) => method === 'POST' && at >= from)
		.length;

// The time by which all nodes have passed on an announcement, and the last request that it allows has arrived.
const announceAndDrain = async (
	scene: Scene,
	server: StatingServer,
): Promise<number> => {
	server.announceLeaving();
	await play(scene, 80, 1500);
	const toldAt = performance.now();
	await play(scene, 80, drainMs);
	return toldAt + drainMs;
};

const cases = [
	{name: 'whole answers', answer: whole, route: {}},
	{name: 'stream heads', answer: stream, route: {}},
	{
		name: 'heads of resumable streams',
		answer: stream,
		route: {isResumable: true},
	},
] as const;

for (const {name, answer, route} of cases) {
	test(`a shutdown announced in ${name} only ends new requests within 3 s`, async (t: TestContext) => {
		const scene = await setUp(t, 3, answer, route);
		const [leaving] = scene.servers;
		await play(scene, 80, 500);
		const from = await announceAndDrain(scene, leaving!);
		const answers = await play(scene, 80, 1500);
		t.assert.strictEqual(requestsAfter(leaving!, from), 0);
		t.assert.deepStrictEqual(
			answers.filter(({status}) => status !== 200),
			[],
		);
	});
}

test('a shutdown announced in refusals only ends new requests within 3 s', async (t: TestContext) => {
	const scene = await setUp(t, 3, whole);
	const [leaving] = scene.servers;
	leaving!.shed();
	const from = await announceAndDrain(scene, leaving!);
	await play(scene, 80, 1500);
	t.assert.strictEqual(requestsAfter(leaving!, from), 0);
});

test('a registry entry that still says ready does not cancel an announced shutdown', async (t: TestContext) => {
	const scene = await setUp(t, 3, whole);
	const [leaving] = scene.servers;
	const from = await announceAndDrain(scene, leaving!);
	leaving!.register();
	await play(scene, 80, 1500);
	t.assert.strictEqual(requestsAfter(leaving!, from), 0);
});

test('a server that starts again under its id after its shutdown receives requests', async (t: TestContext) => {
	const scene = await setUp(t, 3, whole);
	const [leaving] = scene.servers;
	await announceAndDrain(scene, leaving!);
	const from = performance.now();
	leaving!.restart(1000);
	await play(scene, 80, 2000);
	t.assert.ok(requestsAfter(leaving!, from) > 10);
});

test('another region serves when all servers of a region leave', async (t: TestContext) => {
	const scene = await setUp(t, 2, whole, {}, twoRegions);
	await play(scene, 40, 500);
	const from = await announceAndDrain(scene, scene.servers[0]!);
	const answers = await play(scene, 40, 1000);
	t.assert.strictEqual(requestsAfter(scene.servers[0]!, from), 0);
	t.assert.deepStrictEqual(
		answers.filter(({status}) => status !== 200),
		[],
	);
});

test('requests are refused at once when all servers leave', async (t: TestContext) => {
	const scene = await setUp(t, 1, whole);
	const from = await announceAndDrain(scene, scene.servers[0]!);
	const answers = await play(scene, 40, 1000);
	t.assert.strictEqual(requestsAfter(scene.servers[0]!, from), 0);
	t.assert.ok(answers.every(({status}) => status === 503));
	t.assert.ok(answers.every(({retryAfter = 0}) => retryAfter > 0));
});
