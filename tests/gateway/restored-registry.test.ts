import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	startGateways,
	type GatewayDeployment,
} from '../../stand-ins/gateways.ts';
import {
	createStandInRegistry,
	writeRoutes,
	type StandInRegistry,
} from '../../stand-ins/registry.ts';
import {
	startStatingServer,
	type StatingServer,
} from '../../stand-ins/stating-server.ts';
import {until} from '../until.ts';
import {documentOf, routeOf, serviceOf} from './fixtures.ts';
import {ask, whole} from './stating-scene.ts';

// A change binds all nodes this long after the registry has it, in milliseconds.
const applyMs = 3000;

const zones = {'north-1': 'upland', 'north-2': 'upland'};
const nodes = 4;

type Scene = {
	readonly deployment: GatewayDeployment;
	readonly registry: StandInRegistry;
	readonly servers: readonly StatingServer[];
};

const serverOf = (id: string, address: string) => ({
	id,
	startedAt: 1,
	service: 'engine',
	address,
	availabilityZone: 'north-1',
	slots: 32,
});

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

const setUp = async (t: TestContext, hasEras: boolean): Promise<Scene> => {
	const registry = createStandInRegistry({hasEras});
	const deployment = await startGateways(zones, nodes, registry);
	writeVersion(registry, 1);
	const addresses = [deployment.nextAddress(), deployment.nextAddress()];
	const servers = await Promise.all(
		addresses.map(async (address, index) =>
			startStatingServer(registry, serverOf(`engine-${index}`, address), whole),
		),
	);
	t.after(async () => {
		await deployment.stop();
		await Promise.all(servers.map(async (server) => server.close()));
	});
	await until(() =>
		deployment.nodes.every(
			(node) => node.isReady() && node.entryAddresses('', '').length === nodes,
		),
	);
	await sleep(2600);
	return {deployment, registry, servers};
};

// The registry is away for a moment and comes back from the copy that it was after a revision.
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

	test(`routes added after a registry ${kind} came back from a copy are served by all nodes in time`, async (t: TestContext) => {
		const {deployment, registry} = await setUp(t, hasEras);
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

	test(`a server whose shutdown is written after a registry ${kind} came back from a copy receives nothing after 3 s`, async (t: TestContext) => {
		const {deployment, registry, servers} = await setUp(t, hasEras);
		const copy = registry.revision();
		for (const version of [2, 3, 4]) {
			writeVersion(registry, version);
			await sleep(300);
		}

		await restore(registry, copy);
		registry.write('server engine-0', {
			kind: 'server',
			server: {
				...serverOf('engine-0', '127.0.0.1:1'),
				coldMs: 0,
				isLeaving: true,
			},
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
