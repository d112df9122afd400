import {test, type TestContext} from 'node:test';
import type {RegisteredServer} from '../../src/registry/index.ts';
import {documentOf} from '../gateway/fixtures.ts';
import {registeredServerOf} from './fixtures.ts';
import {
	createRegistrySimulation,
	type RegistrySimulation,
	type RegistrySimulationOptions,
} from './registry-simulation.ts';

// A change binds all nodes this long after the registry has it, in milliseconds.
const applyMs = 3000;

const setUp = async (
	t: TestContext,
	change: Partial<RegistrySimulationOptions> = {},
): Promise<RegistrySimulation> => {
	const scene = createRegistrySimulation(t, {
		zones: 3,
		nodes: 9,
		hasEras: true,
		...change,
	});
	t.after(scene.stop);
	writeVersion(scene, 1);
	writeServer(scene, 'a');
	writeServer(scene, 'b');
	await scene.advance(4000);
	return scene;
};

const writeVersion = ({registry}: RegistrySimulation, version: number) => {
	registry.write('routes', {kind: 'routes', document: documentOf({version})});
};

const writeServer = (
	{registry}: RegistrySimulation,
	id: string,
	change: Partial<RegisteredServer> = {},
) => {
	registry.write(`servers/${id}`, {
		kind: 'server',
		server: registeredServerOf(id, change),
	});
};

// The registry is away and comes back as it was after a revision.
const restore = async (
	{registry, advance}: RegistrySimulation,
	revision: number,
	awayMs = 1000,
) => {
	registry.setUp(false);
	await advance(awayMs);
	registry.restore(revision);
	registry.setUp(true);
};

const versions = ({nodes}: RegistrySimulation) =>
	nodes.map(({mirror}) => mirror.routes()?.document.version);

const eras = ({nodes}: RegistrySimulation) =>
	nodes.map(({mirror}) => mirror.position().era);

const everyNode = <Value>(
	{nodes}: RegistrySimulation,
	value: Value,
): readonly Value[] => nodes.map(() => value);

const nodesUsing = ({nodes}: RegistrySimulation, id: string): number =>
	nodes.filter(
		({mirror}) => mirror.servers().get(id)?.server.isLeaving === false,
	).length;

for (const hasEras of [true, false]) {
	const kind = hasEras ? 'with eras' : 'without eras';

	test(`a change counts at all nodes after a registry ${kind} came back twice in a row`, async (t: TestContext) => {
		const scene = await setUp(t, {hasEras});
		const copy = scene.registry.revision();
		for (const version of [2, 3, 4]) {
			writeVersion(scene, version);
			await scene.advance(500);
		}

		await restore(scene, copy);
		await scene.advance(700);
		await restore(scene, copy - 1, 300);
		writeVersion(scene, 5);
		writeServer(scene, 'a', {isLeaving: true});
		await scene.advance(applyMs);
		t.assert.deepStrictEqual(versions(scene), everyNode(scene, 5));
		t.assert.strictEqual(nodesUsing(scene, 'a'), 0);
	});

	test(`routes confirmed before a registry ${kind} came back stay in force at all nodes, one that starts afterwards included`, async (t: TestContext) => {
		const scene = await setUp(t, {hasEras});
		const copy = scene.registry.revision();
		writeVersion(scene, 2);
		writeServer(scene, 'b', {isLeaving: true});
		await scene.advance(applyMs);
		await restore(scene, copy);
		scene.restart(4);
		await scene.advance(2000);
		t.assert.deepStrictEqual(versions(scene), everyNode(scene, 2));
		t.assert.strictEqual(nodesUsing(scene, 'b'), 0);
	});

	test(`what is written again at the revisions that were lost counts after a registry ${kind} came back`, async (t: TestContext) => {
		const scene = await setUp(t, {hasEras});
		const copy = scene.registry.revision();
		writeServer(scene, 'a', {isLeaving: true});
		writeVersion(scene, 2);
		await scene.advance(applyMs);
		await restore(scene, copy);
		// As many changes as were lost, before any node has read the registry again.
		writeVersion(scene, 3);
		writeServer(scene, 'b', {isLeaving: true});
		await scene.advance(applyMs);
		t.assert.deepStrictEqual(versions(scene), everyNode(scene, 3));
		t.assert.strictEqual(nodesUsing(scene, 'b'), 0);
	});

	test(`a node that is frozen or cut off while a registry ${kind} comes back follows it afterwards`, async (t: TestContext) => {
		const scene = await setUp(t, {hasEras});
		const copy = scene.registry.revision();
		writeVersion(scene, 2);
		await scene.advance(1000);
		const [reader, follower, , other] = scene.nodes;
		reader!.isFrozen = true;
		follower!.isCutFromRegistry = true;
		follower!.isCutFromNodes = true;
		other!.isCutFromRegistry = true;
		await restore(scene, copy);
		await scene.advance(2000);
		writeVersion(scene, 3);
		await scene.advance(4000);
		reader!.isFrozen = false;
		follower!.isCutFromRegistry = false;
		follower!.isCutFromNodes = false;
		await scene.advance(1000);
		writeVersion(scene, 4);
		writeServer(scene, 'a', {isLeaving: true});
		await scene.advance(applyMs);
		t.assert.deepStrictEqual(versions(scene), everyNode(scene, 4));
		t.assert.strictEqual(nodesUsing(scene, 'a'), 0);
	});

	test(`a question that a registry ${kind} holds while it comes back at once ends with the later state`, async (t: TestContext) => {
		const scene = await setUp(t, {hasEras});
		const copy = scene.registry.revision();
		writeVersion(scene, 2);
		await scene.advance(applyMs);
		scene.registry.restore(copy);
		await scene.advance(400);
		writeVersion(scene, 3);
		await scene.advance(applyMs);
		t.assert.deepStrictEqual(versions(scene), everyNode(scene, 3));
	});
}

test('nodes of the version before, which stay behind, undo nothing', async (t: TestContext) => {
	const oldNodes = [4, 8];
	const scene = await setUp(t, {oldNodes});
	writeServer(scene, 'a', {sequence: 7});
	const copy = scene.registry.revision();
	writeServer(scene, 'c');
	scene.registry.write('servers/a', undefined);
	for (const version of [2, 3, 4]) {
		writeVersion(scene, version);
		await scene.advance(300);
	}

	for (const node of oldNodes) {
		scene.nodes[node]!.isCutFromRegistry = true;
	}

	await restore(scene, copy);
	writeVersion(scene, 5);
	writeServer(scene, 'a', {sequence: 9});
	scene.registry.write('servers/b', undefined);
	await scene.advance(applyMs);
	const used = scene.nodes
		.filter((_, index) => !oldNodes.includes(index))
		.map(
			({mirror}) =>
				`${mirror.routes()?.document.version}: ${[...mirror.servers().keys()].join(' ')}`,
		);
	t.assert.deepStrictEqual([...new Set(used)], ['5: a']);
});

for (const nodes of [9, 200]) {
	test(`of ${nodes} nodes one a zone reads everything after the registry came back`, async (t: TestContext) => {
		const zones = 3;
		const scene = await setUp(t, {zones, nodes});
		const copy = scene.registry.revision();
		writeVersion(scene, 2);
		await scene.advance(1000);
		const before = scene.registry.fullReads();
		await restore(scene, copy, 500);
		await scene.advance(5000);
		t.assert.ok(scene.registry.fullReads() - before <= 2 * zones);
		t.assert.deepStrictEqual(eras(scene), everyNode(scene, 2));
	});
}

test('nodes whose relay is turned away read everything spread over time', async (t: TestContext) => {
	const scene = await setUp(t, {zones: 1, nodes: 20});
	const copy = scene.registry.revision();
	writeVersion(scene, 2);
	await scene.advance(1000);
	scene.nodes[0]!.isCutFromRegistry = true;
	await scene.advance(1000);
	await restore(scene, copy, 500);
	const reads: number[] = [];
	await scene.advance(applyMs, () => {
		reads.push(scene.registry.fullReads());
	});
	const mostAtOnce = Math.max(
		...reads.map((read, index) => read - (reads[index - 10] ?? reads[0]!)),
	);
	t.assert.ok(mostAtOnce <= 12);
	t.assert.deepStrictEqual(eras(scene), everyNode(scene, 2));
});

test('a registry that drops its history again and again is not read without a pause', async (t: TestContext) => {
	const scene = await setUp(t, {zones: 1, nodes: 2, hasEras: false});
	const source = scene.registry.fullReads();
	for (let turn = 0; turn < 30; turn += 1) {
		writeVersion(scene, turn + 2);
		scene.registry.forgetHistory();
		await scene.advance(100);
	}

	// Twice a second at most, and the first at once.
	t.assert.ok(scene.registry.fullReads() - source <= 7);
	await scene.advance(applyMs);
	t.assert.deepStrictEqual(versions(scene), everyNode(scene, 31));
});
