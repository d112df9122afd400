import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createRecord} from '../stand-ins/record.js';
import {call} from '../stand-ins/caller.js';
import {createAddresses, startNodes} from '../stand-ins/deployment.js';
import {startStore} from '../stand-ins/store.js';
import {startWorker} from '../stand-ins/worker.js';

const hasTrouble = process.env.TROUBLE !== '0';
const host = 'ajoke.example';
const zones = {
	'abj-wuse': 'abuja',
	'ibd-bodija': 'ibadan',
	'phc-transamadi': 'portharcourt',
};
const size = Number(process.env.SIZE ?? 15_000_000);
const rate = Number(process.env.RATE ?? 1_700_000);
const timeoutMs = 12_000;
const record = createRecord(import.meta.dirname);
const nextAddress = createAddresses();
const store = await startStore(nextAddress());
store.put('op/config', {
	version: 7,
	routes: [
		{
			name: 'ack-slip',
			host,
			path_prefix: '/slip/',
			kind: 'idempotent',
			timeout_ms: timeoutMs,
			target_latency_ms: 400,
			priority: 2,
			service: 'docket-desk',
			max_attempts: 2,
			home_regions: [],
		},
	],
	services: [
		{
			name: 'docket-desk',
			health_path: '/healthz',
			max_conns: 110,
			cold_start_s: 0,
			cold_per_s: 0,
		},
	],
	limits: {
		max_header_bytes: 16_384,
		max_body_bytes: 4_194_304,
		header_timeout_ms: 3000,
		idle_timeout_ms: 15_000,
	},
});
const workers = await Promise.all(
	Object.keys(zones).map(async (zone, index) =>
		startWorker({
			store,
			id: `i-desk${index}`,
			ip: nextAddress(),
			service: 'docket-desk',
			zone,
			slots: 6,
			run({response, signed, end}) {
				setTimeout(() => {
					response.writeHead(200, {...signed, 'content-length': size});
					response.end(Buffer.alloc(size, 'x'), end);
				}, 40);
			},
		}),
	),
);
const deployment = await startNodes({
	zones,
	store,
	nodes: Object.keys(zones).map((zone) => ({
		name: `edge-${zone}-1`,
		ip: nextAddress(),
		zone,
	})),
});
const [node] = deployment.nodes;
await sleep(3500);
const startedAt = performance.now();
const pending = call({
	address: node.front,
	host,
	method: 'GET',
	target: '/slip/1',
	deadlineMs: timeoutMs,
	bytesPerSecond: rate,
});
await sleep(300);
if (hasTrouble) node.child.kill('SIGTERM');
const result = await pending;
record.line(
	`ended ${Math.round(result.endedAt - startedAt)} ms (${result.how}), ${result.answer?.body.length} of ${size} bytes, complete ${result.isComplete}; worker done ${JSON.stringify(workers.flatMap((w) => w.arrivals.map((a) => Math.round(a.endedAt - startedAt))))}`,
);
await deployment.end();
record.end();
process.exit(result.isComplete ? 0 : 1);
