import {test, type TestContext} from 'node:test';
import type {RegisteredServer} from '../../src/registry/index.ts';
import {documentOf} from '../gateway/fixtures.ts';
import {registeredServerOf} from './fixtures.ts';
import {
	createRegistrySimulation,
	type RegistrySimulation,
	type RegistrySimulationOptions,
} from './registry-simulation.ts';

// Time within which all nodes must apply a change of the registry, in milliseconds.
const applyMs = 3000;

const setUp = async (
	t: TestContext,
	change: Partial<RegistrySimulationOptions> = {},
): Promise<RegistrySimulation> => {
	const simulation = createRegistrySimulation(t, {
		zones: 3,
		nodes: 9,
		hasEras: true,
		...change,
	});
	t.after(simulation.stop);
	writeVersion(simulation, 1);
	writeServer(simulation, 'a');
	writeServer(simulation, 'b');
	await simulation.advance(4000);
	return simulation;
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

// Makes the registry unavailable, then restores it to its state at a revision.
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

	test(`a change applies on all nodes after a registry ${kind} was restored twice in a row`, async (t: TestContext) => {
		const simulation = await setUp(t, {hasEras});
		const copy = simulation.registry.revision();
		for (const version of [2, 3, 4]) {
			writeVersion(simulation, version);
			await simulation.advance(500);
		}

		await restore(simulation, copy);
		await simulation.advance(700);
		await restore(simulation, copy - 1, 300);
		writeVersion(simulation, 5);
		writeServer(simulation, 'a', {isLeaving: true});
		await simulation.advance(applyMs);
		t.assert.deepStrictEqual(versions(simulation), everyNode(simulation, 5));
		t.assert.strictEqual(nodesUsing(simulation, 'a'), 0);
	});

	test(`routes confirmed before a registry ${kind} was restored stay in force on all nodes, including one that starts afterwards`, async (t: TestContext) => {
		const simulation = await setUp(t, {hasEras});
		const copy = simulation.registry.revision();
		writeVersion(simulation, 2);
		writeServer(simulation, 'b', {isLeaving: true});
		await simulation.advance(applyMs);
		await restore(simulation, copy);
		simulation.restart(4);
		await simulation.advance(2000);
		t.assert.deepStrictEqual(versions(simulation), everyNode(simulation, 2));
		t.assert.strictEqual(nodesUsing(simulation, 'b'), 0);
	});

	test(`changes written at reused revisions apply after a registry ${kind} was restored`, async (t: TestContext) => {
		const simulation = await setUp(t, {hasEras});
		const copy = simulation.registry.revision();
		writeServer(simulation, 'a', {isLeaving: true});
		writeVersion(simulation, 2);
		await simulation.advance(applyMs);
		await restore(simulation, copy);
		// Writes as many changes as were lost, before any node has read the registry again.
		writeVersion(simulation, 3);
		writeServer(simulation, 'b', {isLeaving: true});
		await simulation.advance(applyMs);
		t.assert.deepStrictEqual(versions(simulation), everyNode(simulation, 3));
		t.assert.strictEqual(nodesUsing(simulation, 'b'), 0);
	});

	test(`a node that is frozen or partitioned while a registry ${kind} is restored follows it afterwards`, async (t: TestContext) => {
		const simulation = await setUp(t, {hasEras});
		const copy = simulation.registry.revision();
		writeVersion(simulation, 2);
		await simulation.advance(1000);
		const [reader, follower, , other] = simulation.nodes;
		reader!.isFrozen = true;
		follower!.isCutFromRegistry = true;
		follower!.isCutFromNodes = true;
		other!.isCutFromRegistry = true;
		await restore(simulation, copy);
		await simulation.advance(2000);
		writeVersion(simulation, 3);
		await simulation.advance(4000);
		reader!.isFrozen = false;
		follower!.isCutFromRegistry = false;
		follower!.isCutFromNodes = false;
		await simulation.advance(1000);
		writeVersion(simulation, 4);
		writeServer(simulation, 'a', {isLeaving: true});
		await simulation.advance(applyMs);
		t.assert.deepStrictEqual(versions(simulation), everyNode(simulation, 4));
		t.assert.strictEqual(nodesUsing(simulation, 'a'), 0);
	});

	test(`nodes reach the later state if a registry ${kind} is restored during a long poll, without downtime`, async (t: TestContext) => {
		const simulation = await setUp(t, {hasEras});
		const copy = simulation.registry.revision();
		writeVersion(simulation, 2);
		await simulation.advance(applyMs);
		simulation.registry.restore(copy);
		await simulation.advance(400);
		writeVersion(simulation, 3);
		await simulation.advance(applyMs);
		t.assert.deepStrictEqual(versions(simulation), everyNode(simulation, 3));
	});
}

test('nodes of the previous version that miss the restore undo no change', async (t: TestContext) => {
	const oldNodes = [4, 8];
	const simulation = await setUp(t, {oldNodes});
	writeServer(simulation, 'a', {sequence: 7});
	const copy = simulation.registry.revision();
	writeServer(simulation, 'c');
	simulation.registry.write('servers/a', undefined);
	for (const version of [2, 3, 4]) {
		writeVersion(simulation, version);
		await simulation.advance(300);
	}

	for (const node of oldNodes) {
		simulation.nodes[node]!.isCutFromRegistry = true;
	}

	await restore(simulation, copy);
	writeVersion(simulation, 5);
	writeServer(simulation, 'a', {sequence: 9});
	simulation.registry.write('servers/b', undefined);
	await simulation.advance(applyMs);
	const used = simulation.nodes
		.filter((_, index) => !oldNodes.includes(index))
		.map(
			({mirror}) =>
				`${mirror.routes()?.document.version}: ${[...mirror.servers().keys()].join(' ')}`,
		);
	t.assert.deepStrictEqual([...new Set(used)], ['5: a']);
});

for (const nodes of [9, 200]) {
	test(`one of ${nodes} nodes per zone does a full read after the registry was restored`, async (t: TestContext) => {
		const zones = 3;
		const simulation = await setUp(t, {zones, nodes});
		const copy = simulation.registry.revision();
		writeVersion(simulation, 2);
		await simulation.advance(1000);
		const before = simulation.registry.fullReads();
		await restore(simulation, copy, 500);
		await simulation.advance(5000);
		t.assert.ok(simulation.registry.fullReads() - before <= 2 * zones);
		t.assert.deepStrictEqual(eras(simulation), everyNode(simulation, 2));
	});
}

test('nodes whose relay cannot reach the registry spread their full reads over time', async (t: TestContext) => {
	const simulation = await setUp(t, {zones: 1, nodes: 20});
	const copy = simulation.registry.revision();
	writeVersion(simulation, 2);
	await simulation.advance(1000);
	simulation.nodes[0]!.isCutFromRegistry = true;
	await simulation.advance(1000);
	await restore(simulation, copy, 500);
	const reads: number[] = [];
	await simulation.advance(applyMs, () => {
		reads.push(simulation.registry.fullReads());
	});
	const mostAtOnce = Math.max(
		...reads.map((read, index) => read - (reads[index - 10] ?? reads[0]!)),
	);
	t.assert.ok(mostAtOnce <= 12);
	t.assert.deepStrictEqual(eras(simulation), everyNode(simulation, 2));
});

test('a registry that drops its history repeatedly is not read without a pause', async (t: TestContext) => {
	const simulation = await setUp(t, {zones: 1, nodes: 2, hasEras: false});
	const source = simulation.registry.fullReads();
	for (let turn = 0; turn < 30; turn += 1) {
		writeVersion(simulation, turn + 2);
		simulation.registry.forgetHistory();
		await simulation.advance(100);
	}

	// At most two full reads per second, and the first one at once.
	t.assert.ok(simulation.registry.fullReads() - source <= 7);
	await simulation.advance(applyMs);
	t.assert.deepStrictEqual(versions(simulation), everyNode(simulation, 31));
});
