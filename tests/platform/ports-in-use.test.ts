import {createSocket} from 'node:dgram';
import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';
import {after, before, test, type TestContext} from 'node:test';
import {waitUntil} from '../until.ts';
import {
	nodePorts,
	startNodeProcess,
	statusAt,
	type NodeProcess,
} from './node-process.ts';
import {startStoreServer, type StoreServer} from './store-server.ts';

const network = `127.${randomInt(2, 250)}.${randomInt(1, 250)}`;
const storeAddress = `${network}.1:8142`;
// A process starts more slowly beside others.
const turns = 200;
// Longer than a node waits for an address.
const givingUpTurns = 1000;

let store: StoreServer;
let lastHost = 1;

before(async () => {
	store = await startStoreServer(storeAddress, {
		'op/config': {
			version: 1,
			routes: [],
			services: [],
			limits: {
				max_header_bytes: 16_384,
				max_body_bytes: 1_000_000,
				header_timeout_ms: 5000,
				idle_timeout_ms: 5000,
			},
		},
	});
});

after(async () => {
	await store.close();
});

type Held = {readonly host: string; readonly release: () => Promise<void>};

// Makes each address free at the end of its test, also of a test that fails.
const held = (
	t: TestContext,
	host: string,
	close: (done: () => void) => void,
): Held => {
	const closed = Promise.withResolvers<void>();
	let isHeld = true;
	const release = async () => {
		if (isHeld) {
			isHeld = false;
			close(closed.resolve);
		}

		await closed.promise;
	};

	t.after(release);
	return {host, release};
};

const nextHost = () => {
	lastHost += 1;
	return `${network}.${lastHost}`;
};

const holdTcp = async (t: TestContext, port: number): Promise<Held> => {
	const host = nextHost();
	const holder = createServer((socket) => {
		socket.destroy();
	});
	await new Promise<void>((resolve) => {
		holder.listen(port, host, resolve);
	});
	return held(t, host, (done) => {
		holder.close(() => {
			done();
		});
	});
};

const holdUdp = async (t: TestContext, port: number): Promise<Held> => {
	const host = nextHost();
	const holder = createSocket('udp4');
	await new Promise<void>((resolve) => {
		holder.bind(port, host, resolve);
	});
	return held(t, host, (done) => {
		holder.close(done);
	});
};

const readiness = async (host: string) =>
	statusAt(`${host}:${nodePorts.readiness}`, '/readiness');

// A node without routes answers a caller's request with 404.
const isServingCallers = async (host: string) =>
	(await statusAt(`${host}:${nodePorts.callers}`, '/', {
		host: 'unknown.example',
		'x-quillford-attempt-id': 'a1',
	})) === 404;

const isServingAll = async (host: string) =>
	(await readiness(host)) === 200 &&
	(await isServingCallers(host)) &&
	(await statusAt(`${host}:${nodePorts.directory}`, '/resolve')) === 200 &&
	(await statusAt(`${host}:${nodePorts.metrics}`, '/metrics')) === 200;

const hasFoundInUse = async (node: NodeProcess) =>
	waitUntil(() => node.output().includes('EADDRINUSE'), turns);

const startAt = (t: TestContext, host: string): NodeProcess => {
	const node = startNodeProcess(host, storeAddress);
	t.after(node.close);
	return node;
};

const uses = [
	['callers', async (t: TestContext) => holdTcp(t, nodePorts.callers)],
	['readiness', async (t: TestContext) => holdTcp(t, nodePorts.readiness)],
	['seeds', async (t: TestContext) => holdTcp(t, nodePorts.seeds)],
	['directory', async (t: TestContext) => holdTcp(t, nodePorts.directory)],
	['metrics', async (t: TestContext) => holdTcp(t, nodePorts.metrics)],
	['nodes', async (t: TestContext) => holdTcp(t, nodePorts.nodes)],
	['heartbeats', async (t: TestContext) => holdUdp(t, nodePorts.nodes)],
] as const;

// Guards against nodes that never serve again because another socket held one of their ports when they started.
for (const [use, hold] of uses) {
	test(`a node whose port for ${use} is in use when it starts serves once the port is free`, async (t: TestContext) => {
		const {host, release} = await hold(t);
		const node = startAt(t, host);
		await hasFoundInUse(node);
		await release();
		await waitUntil(async () => isServingAll(host), turns);
		t.assert.ok(await isServingAll(host), node.output());
	});
}

// Guards against callers being sent to a machine of which a part cannot be reached.
for (const [use, hold] of uses.filter(
	([name]) => name !== 'readiness' && name !== 'metrics',
)) {
	test(`a node is not ready while its port for ${use} is in use`, async (t: TestContext) => {
		const {host} = await hold(t);
		const node = startAt(t, host);
		await hasFoundInUse(node);
		t.assert.notStrictEqual(await readiness(host), 200);
	});
}

test('a node whose metrics port is in use serves callers', async (t: TestContext) => {
	const {host} = await holdTcp(t, nodePorts.metrics);
	const node = startAt(t, host);
	await waitUntil(async () => (await readiness(host)) === 200, turns);
	t.assert.ok(await isServingCallers(host), node.output());
});

// Guards against processes that can neither start nor end.
test('a node that waits for a port ends when it is stopped', async (t: TestContext) => {
	const {host} = await holdTcp(t, nodePorts.callers);
	const node = startAt(t, host);
	await hasFoundInUse(node);
	node.signal('SIGTERM');
	await waitUntil(() => node.ending() !== undefined, turns);
	t.assert.strictEqual(node.ending(), 0);
});

test('a node whose port stays in use ends with a code and says what to do', async (t: TestContext) => {
	const {host} = await holdTcp(t, nodePorts.directory);
	const node = startAt(t, host);
	await waitUntil(() => node.ending() !== undefined, givingUpTurns);
	t.assert.strictEqual(node.ending(), 1);
	t.assert.match(
		node.output(),
		/Cannot listen on \S+ for directory \(EADDRINUSE, .+ stop the process that holds it/v,
	);
});

test('a node starts while its predecessor still runs, and serves once that one is killed', async (t: TestContext) => {
	const host = nextHost();
	const predecessor = startAt(t, host);
	await waitUntil(async () => isServingAll(host), turns);
	const node = startAt(t, host);
	await hasFoundInUse(node);
	await predecessor.close();
	await waitUntil(async () => isServingAll(host), turns);
	t.assert.ok(await isServingAll(host), node.output());
});
