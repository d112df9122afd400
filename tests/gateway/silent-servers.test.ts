import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {writeRoutes} from '../../stand-ins/registry.ts';
import {
	cutRuns,
	documentOfScene,
	sendAllKinds,
	setUpSilent,
	type SilentScene,
	type SilentSceneAnswer,
} from './silent-server-scene.ts';

const oneRegion = {'north-1': 'upland', 'north-2': 'upland'};
const twoRegions = {'north-1': 'upland', 'south-1': 'lowland'};
const nodes = 4;

const silence = async (
	{servers}: Pick<SilentScene, 'servers'>,
	forMs: number,
) => {
	for (const server of servers) {
		server.pause();
	}

	await sleep(forMs);
	for (const server of servers) {
		server.resume();
	}
};

const lostOf = (
	answers: readonly SilentSceneAnswer[],
): readonly SilentSceneAnswer[] => answers.filter(({isWhole}) => !isWhole);

for (const forMs of [1200, 1900]) {
	test(`no answer is lost when all servers fall silent for ${forMs} ms and go on`, async (t: TestContext) => {
		const scene = await setUpSilent(t, oneRegion, nodes, [
			'north-1',
			'north-2',
		]);
		const [answers] = await Promise.all([
			sendAllKinds(scene, forMs + 800),
			sleep(600).then(async () => silence(scene, forMs)),
		]);
		t.assert.deepStrictEqual(lostOf(answers), []);
		t.assert.deepStrictEqual(cutRuns(scene), []);
	});
}

test('no answer is lost when servers fall silent while idle time, time-out and route change', async (t: TestContext) => {
	const scene = await setUpSilent(t, oneRegion, nodes, ['north-1', 'north-2']);
	const {limits, routes} = documentOfScene();
	const change = async () => {
		await sleep(700);
		writeRoutes(
			scene.registry,
			documentOfScene({version: 2, limits: {...limits, idleTimeoutMs: 400}}),
		);
		await sleep(400);
		const shorter = routes.map((each) => ({...each, timeoutMs: 3500}));
		writeRoutes(scene.registry, documentOfScene({version: 3, routes: shorter}));
		await sleep(400);
		writeRoutes(scene.registry, documentOfScene({version: 4}));
	};

	const [answers] = await Promise.all([
		sendAllKinds(scene, 2700),
		change(),
		sleep(600).then(async () => silence(scene, 1900)),
	]);
	t.assert.deepStrictEqual(lostOf(answers), []);
	t.assert.deepStrictEqual(cutRuns(scene), []);
});

// A request that the server has worked on for 0.5 s when it falls silent reaches the patience of callers, 2 s, in this silence. It
// then has a second call at the other server, which ends when the first one answers.
test('no run of a server that falls silent for less than the patience of callers is cut, and no answer is lost', async (t: TestContext) => {
	const scene = await setUpSilent(t, oneRegion, nodes, ['north-1', 'north-2']);
	const [first, second] = scene.servers;
	const [answers] = await Promise.all([
		sendAllKinds(scene, 2400),
		sleep(600).then(async () => silence({servers: [first!]}, 1600)),
	]);
	t.assert.deepStrictEqual(lostOf(answers), []);
	t.assert.deepStrictEqual(first!.cut, []);
	t.assert.deepStrictEqual(
		second!.cut.filter((id) => !first!.completed.includes(id)),
		[],
	);
});

test('no answer over a hop is lost when the servers of the other region fall silent', async (t: TestContext) => {
	const scene = await setUpSilent(t, twoRegions, nodes, ['south-1', 'south-1']);
	const [answers] = await Promise.all([
		sendAllKinds(scene, 2400),
		sleep(600).then(async () => silence(scene, 1600)),
	]);
	t.assert.deepStrictEqual(lostOf(answers), []);
	t.assert.deepStrictEqual(cutRuns(scene), []);
});
