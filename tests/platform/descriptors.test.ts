import {once} from 'node:events';
import {randomInt} from 'node:crypto';
import {createServer} from 'node:http';
import {connect} from 'node:net';
import {test, type TestContext} from 'node:test';
import {closeServer} from '../../src/shared/index.ts';
import {listenAt} from '../../stand-ins/http-server.ts';
import {waitUntil} from '../until.ts';
import {nodePorts, startNodeProcess, statusAt} from './node-process.ts';
import {startStoreServer} from './store-server.ts';

const network = `127.${randomInt(2, 250)}.${randomInt(1, 250)}`;
const storeAddress = `${network}.1:8142`;
const host = `${network}.2`;
const serverAddress = `${network}.3:8150`;
const descriptors = 120;
const idleCallers = 3 * descriptors;
// A process starts more slowly beside others.
const turns = 200;

const document = {
	version: 1,
	routes: [
		{
			name: 'plain',
			host: 'site.example',
			path_prefix: '/a/',
			kind: 'idempotent',
			timeout_ms: 4000,
			target_latency_ms: 400,
			priority: 1,
			service: 'desk',
			max_attempts: 2,
			home_regions: [],
		},
	],
	services: [
		{
			name: 'desk',
			health_path: '/healthz',
			max_conns: 110,
			cold_start_s: 0,
			cold_per_s: 0,
		},
	],
	limits: {
		max_header_bytes: 16_384,
		max_body_bytes: 1_000_000,
		header_timeout_ms: 5000,
		idle_timeout_ms: 60_000,
	},
};
const entry = {
	service: 'desk',
	address: serverAddress,
	zone: 'zone-a',
	version: 'v1',
	slots: 6,
	state: 'ready',
	cold_left_ms: 0,
	sequence: 1,
};

const startServer = async (t: TestContext) => {
	const server = createServer((request, response) => {
		request.resume();
		response.writeHead(200, {
			'x-quillford-attempt-id': request.headers['x-quillford-attempt-id'] ?? '',
			'x-quillford-response-signature': 'signature',
		});
		// Each request takes a new connection.
		response.shouldKeepAlive = false;
		response.end('ok');
	});
	await listenAt(server, serverAddress);
	t.after(async () => closeServer(server));
};

let asked = 0;

const ask = async () => {
	asked += 1;
	return statusAt(`${host}:${nodePorts.callers}`, '/a/b', {
		host: 'site.example',
		'x-quillford-attempt-id': `attempt-${asked}`,
		connection: 'close',
	});
};

// Guards against nodes that are ready and serve nobody, because the callers that came back have taken all descriptors.
test('a node serves while more callers keep idle connections to it than it has descriptors', async (t: TestContext) => {
	const store = await startStoreServer(storeAddress, {
		'op/config': document,
		'servers/i-1': entry,
	});
	t.after(store.close);
	await startServer(t);
	const node = startNodeProcess(host, storeAddress, 'node-1', descriptors);
	t.after(node.close);
	await waitUntil(async () => (await ask()) === 200, turns);
	let ended = 0;
	const sockets = Array.from({length: idleCallers}, () => {
		const socket = connect(nodePorts.callers, host);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			ended += 1;
		});
		return socket;
	});
	t.after(() => {
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	await Promise.all(
		sockets.map(async (socket) =>
			Promise.race([once(socket, 'connect'), once(socket, 'close')]),
		),
	);
	await waitUntil(() => ended >= idleCallers - descriptors, turns);
	for (let index = 0; index < 5; index += 1) {
		t.assert.strictEqual(await ask(), 200, node.output());
	}

	t.assert.match(
		node.output(),
		/connections of callers are closed for new ones/v,
	);
});
