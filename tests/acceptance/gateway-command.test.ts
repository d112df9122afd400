import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';
import {after, before, test, type TestContext} from 'node:test';
import {request} from 'undici';
import {productHeaders} from '../../src/gateway/index.ts';
import type {RegistryValue} from '../../src/registry/index.ts';
import {
	startStandInServer,
	type StandInServer,
} from '../../stand-ins/registered-server.ts';
import {createStandInRegistry, writeRoutes} from '../../stand-ins/registry.ts';
import {startRegistryServer} from '../../stand-ins/registry-server.ts';
import {documentOf, routeOf, serviceOf} from '../gateway/fixtures.ts';
import {waitUntil} from '../until.ts';

const registry = createStandInRegistry();
const network = `127.${randomInt(2, 250)}.${randomInt(1, 250)}`;
const callerAddress = `${network}.1:8000`;
const registryAddress = `${network}.2:8000`;
let registryServer: {close(): Promise<void>};
let backendServer: StandInServer;
let node: ChildProcess;
let log = '';

const sendRequest = async () => {
	try {
		const answer = await request(`http://${callerAddress}/a/b`, {
			headers: {
				host: 'site.example',
				[productHeaders.requestId]: `request-${randomInt(1, 1_000_000)}`,
			},
		});
		return {status: answer.statusCode, text: await answer.body.text()};
	} catch {
		return {status: 0, text: ''};
	}
};

// A node process takes longer to start than a node in the test process.
const processAttempts = 200;

const startNode = (index: number): ChildProcess =>
	spawn('dist/quillford', [
		'gateway',
		`--node-id=node-${index}`,
		'--availability-zone=north',
		'--zones=north=upland',
		`--caller-address=${network}.${index}:8000`,
		`--peer-address=${network}.${index}:8001`,
		`--registry-address=${registryAddress}`,
	]);

before(async () => {
	registryServer = await startRegistryServer(registry, registryAddress);
	backendServer = await startStandInServer(
		registry,
		{
			id: 'engine-1',
			service: 'engine',
			address: `${network}.3:8000`,
			availabilityZone: 'north',
			slots: 4,
		},
		{kind: 'whole', text: 'done'},
		productHeaders,
	);
	node = startNode(1);
	const collect = (chunk: Uint8Array) => {
		log += chunk.toString();
	};

	node.stdout?.on('data', collect);
	node.stderr?.on('data', collect);
});

after(async () => {
	await backendServer.close();
	await registryServer.close();
});

test('a node serves the routes of the registry as soon as it has received them', async () => {
	writeRoutes(
		registry,
		documentOf({
			routes: [routeOf()],
			services: [serviceOf()],
		}),
	);
	await waitUntil(
		async () => (await sendRequest()).status === 200,
		processAttempts,
	);
	assert.deepEqual(await sendRequest(), {status: 200, text: 'done'});
});

test('an invalid registry value is logged and does not change the routes', async () => {
	const wrong = {
		kind: 'routes',
		document: {version: 9},
	} as unknown as RegistryValue;
	registry.write('routes', wrong);
	await waitUntil(
		() => log.includes('registry item cannot be read'),
		processAttempts,
	);
	assert.match(log, /"key":"routes"/v);
	assert.deepEqual(await sendRequest(), {status: 200, text: 'done'});
});

test('an evacuated zone receives no requests until the evacuation ends', async () => {
	registry.write('evacuation north', {
		kind: 'evacuation',
		availabilityZone: 'north',
	});
	await waitUntil(
		async () => (await sendRequest()).status === 503,
		processAttempts,
	);
	const {status} = await sendRequest();
	assert.equal(status, 503);
	registry.write('evacuation north', undefined);
	await waitUntil(
		async () => (await sendRequest()).status === 200,
		processAttempts,
	);
	assert.deepEqual(await sendRequest(), {status: 200, text: 'done'});
});

test('a graceful shutdown exits with code 0', async () => {
	const ended = once(node, 'exit');
	node.kill('SIGTERM');
	const [code] = (await ended) as [number | null];
	assert.equal(code, 0);
});

test('missing settings are listed', async () => {
	const child = spawn('dist/quillford', ['gateway']);
	let output = '';
	child.stderr.on('data', (chunk: Uint8Array) => {
		output += chunk.toString();
	});
	const [code] = (await once(child, 'close')) as [number | null];
	assert.notEqual(code, 0);
	assert.match(output, /--zones/v);
	assert.match(output, /--registry-address/v);
});

// Guards against processes that can neither start nor end.
test('a node that waits for its port serves once it is free, and ends when it is stopped', async (t: TestContext) => {
	const nodes: ChildProcess[] = [];
	t.after(() => {
		for (const each of nodes) {
			each.kill('SIGKILL');
		}
	});
	// The addresses of the first node and of the backend server are taken.
	const startWaiting = async (index: number) => {
		const holder = createServer();
		holder.listen(8001, `${network}.${index}`);
		await once(holder, 'listening');
		const waiting = startNode(index);
		nodes.push(waiting);
		let output = '';
		waiting.stderr?.on('data', (chunk: Uint8Array) => {
			output += chunk.toString();
		});
		await waitUntil(() => output.includes('EADDRINUSE'), processAttempts);
		return {waiting, holder};
	};

	const stopped = await startWaiting(4);
	stopped.waiting.kill('SIGTERM');
	const [code] = (await once(stopped.waiting, 'exit')) as [number | null];
	t.assert.strictEqual(code, 0);
	stopped.holder.close();

	const started = await startWaiting(5);
	started.holder.close();
	const isAnswering = async () => {
		try {
			const answer = await request(`http://${network}.5:8000/`);
			await answer.body.dump();
			return true;
		} catch {
			return false;
		}
	};

	await waitUntil(isAnswering, processAttempts);
	t.assert.ok(await isAnswering());
});
