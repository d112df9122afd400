import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {GatewayDeployment} from '../../stand-ins/gateways.ts';
import {
	createStandInRegistry,
	writeRoutes,
	type StandInRegistry,
} from '../../stand-ins/registry.ts';
import {registeredServerOf} from '../registry/fixtures.ts';
import {documentOf, routeOf, serviceOf} from './fixtures.ts';
import {
	ask,
	nodes,
	setUp,
	singleResponse,
	type Scene,
} from './statement-scene.ts';

// Time in which all nodes apply a change of the registry, in milliseconds.
const applyMs = 3000;

const writeVersion = (registry: StandInRegistry, version: number) => {
	const added = Array.from({length: version}, (_, index) =>
		routeOf({name: `added-${index + 1}`, pathPrefix: `/added-${index + 1}/`}),
	);
	writeRoutes(
		registry,
		documentOf({
			version,
			routes: [routeOf(), ...added],
			services: [serviceOf()],
		}),
	);
};

const setUpWith = async (t: TestContext, hasEras: boolean): Promise<Scene> =>
	setUp(t, 2, singleResponse, {}, undefined, createStandInRegistry({hasEras}));

// Stops the registry for a moment and restores it from a copy made at a revision.
const restore = async (registry: StandInRegistry, revision: number) => {
	registry.setUp(false);
	await sleep(600);
	registry.restore(revision);
	registry.setUp(true);
	await sleep(600);
};

const statusesOf = async (
	{callerAddresses}: GatewayDeployment,
	path: string,
): Promise<readonly number[]> => {
	const answers = await Promise.all(
		callerAddresses.map(async (address) => ask(address, path)),
	);
	return answers.map(({status}) => status);
};

for (const hasEras of [true, false]) {
	const kind = hasEras ? 'with eras' : 'without eras';

	test(`routes added after a registry ${kind} was restored from a copy are served by all nodes within 3 s`, async (t: TestContext) => {
		const {deployment, registry} = await setUpWith(t, hasEras);
		const copy = registry.revision();
		for (const version of [2, 3, 4]) {
			writeVersion(registry, version);
			await sleep(300);
		}

		await restore(registry, copy);
		writeVersion(registry, 5);
		await sleep(applyMs);
		t.assert.deepStrictEqual(
			await statusesOf(deployment, '/added-5/draft'),
			Array.from({length: nodes}, () => 200),
		);
	});

	test(`a server whose shutdown is written after a registry ${kind} was restored from a copy receives nothing after 3 s`, async (t: TestContext) => {
		const {deployment, registry, servers} = await setUpWith(t, hasEras);
		const copy = registry.revision();
		for (const version of [2, 3, 4]) {
			writeVersion(registry, version);
			await sleep(300);
		}

		await restore(registry, copy);
		registry.write('server engine-0', {
			kind: 'server',
			server: registeredServerOf('engine-0', {isLeaving: true}),
		});
		await sleep(applyMs);
		const from = performance.now();
		for (let turn = 0; turn < 10; turn += 1) {
			await statusesOf(deployment, '/a/draft');
		}

		t.assert.strictEqual(
			servers[0]!.arrivals.filter(
				({at, method}) => method === 'POST' && at >= from,
			).length,
			0,
		);
	});
}
