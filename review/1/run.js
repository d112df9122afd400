/* eslint-disable camelcase, unicorn/no-process-exit, unicorn/prefer-top-level-await -- the names are those of the pages, and a case ends with an exit code */
// A node gets SIGTERM while requests wait in its queue for a place at a worker.
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from '../caller.js';
import {createAddresses, startNodes} from '../deployment.js';
import {createRecord} from '../record.js';
import {startStore} from '../store.js';
import {streamEvents} from '../streams.js';
import {startWorker} from '../worker.js';

const hasTrouble = process.env.TROUBLE !== '0';
const host = 'imerologio.example';
const zones = {
	'attiki-a': 'attiki',
	'thess-b': 'kentriki-makedonia',
	'irakleio-a': 'kriti',
};
const graceMs = 8000;
const slackMs = 200;
const deadlineMs = 12_000;
const slots = 64;
// A worker runs its slots and queues a few more.
const engineQueueFactor = 1.5;
const longEvents = 136;
const longEventMs = 66;
const shortEvents = 30;
const shortEventMs = 40;

const record = createRecord(import.meta.dirname);
const nextAddress = createAddresses();
const store = await startStore(nextAddress());
store.put('op/config', {
	version: 7,
	routes: [
		{
			name: 'history-digest',
			host,
			path_prefix: '/digest/',
			kind: 'streaming',
			timeout_ms: deadlineMs,
			target_latency_ms: 800,
			priority: 1,
			service: 'quillford-pool',
			max_attempts: 1,
			sticky: true,
			resumable: false,
			gap_aim_ms: 600,
			home_regions: ['attiki'],
		},
	],
	services: [
		{
			name: 'quillford-pool',
			health_path: '/healthz',
			max_conns: 360,
			cold_start_s: 3,
			cold_per_s: 8,
			engine: {slots, kv_capacity: 390_931},
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
			id: `i-pool${index}`,
			ip: nextAddress(),
			service: 'quillford-pool',
			zone,
			slots,
			run: streamEvents,
		}),
	),
);
const deployment = await startNodes({
	zones,
	store,
	bounds: {
		contact_ms: 6000,
		ack_ms: 8000,
		drain_ms: 4000,
		config_apply_ms: 4000,
	},
	nodes: Object.keys(zones).map((zone) => ({
		name: `edge-${zone}-1`,
		ip: nextAddress(),
		zone,
	})),
});
const [node] = deployment.nodes;
const startedAt = performance.now();

const send = async (events, eventMs) =>
	call({
		address: node.front,
		host,
		target: '/digest/1',
		headers: {
			'X-Quillford-Model': 'm',
			'X-Quillford-Token-Usage': `826,${events * 7}`,
			'X-Quillford-Prompt-Prefix': '5c1e07a2:198,e4402b7d:628',
			'X-Test-Stream': `${events},${eventMs}`,
		},
		deadlineMs,
	});

// The node learns how long digests usually take.
await sleep(3500);
await Promise.all(
	Array.from({length: 16}, async () => send(shortEvents, shortEventMs)),
);

// Long digests take all places of the worker, and short ones those that the node lets wait there.
const calls = Array.from({length: slots}, async () =>
	send(longEvents, longEventMs),
);
await sleep(100);
for (let index = 0; index < slots * (engineQueueFactor - 1); index += 1) {
	calls.push(send(shortEvents, shortEventMs));
}

await sleep(500);
const waiting = Array.from({length: 12}, async () =>
	send(shortEvents, shortEventMs),
);
await sleep(500);
const stoppedAt = performance.now();
if (hasTrouble) {
	node.child.kill('SIGTERM');
}

const results = await Promise.all([...calls, ...waiting]);
const arrivals = new Map(
	workers.flatMap((worker) =>
		worker.arrivals.map((arrival) => [arrival.attemptId, arrival]),
	),
);
let lost = 0;
for (const result of results) {
	const arrival = arrivals.get(result.attemptId);
	const heldMs = result.endedAt - result.sentAt;
	const wasAtWork =
		arrival !== undefined &&
		(arrival.endedAt ?? Infinity) > stoppedAt + (graceMs * 5) / 6;
	const isLost =
		hasTrouble &&
		!result.isComplete &&
		result.how !== 'given up' &&
		heldMs > slackMs &&
		heldMs < deadlineMs &&
		result.sentAt < stoppedAt + 3000 &&
		!wasAtWork;
	lost += isLost ? 1 : 0;
	record.line(
		[
			`request ${result.attemptId}`,
			`sent ${Math.round(result.sentAt - stoppedAt)} ms`,
			`ended ${Math.round(result.endedAt - stoppedAt)} ms (${result.how})`,
			`answer ${result.answer?.status ?? 'none'}${result.isComplete ? ' whole' : ' not whole'}`,
			arrival === undefined
				? 'never reached a worker'
				: `reached a worker at ${Math.round(arrival.at - stoppedAt)} ms, ended there ${Math.round((arrival.endedAt ?? NaN) - stoppedAt)}`,
			isLost ? 'LOST' : '',
		].join('; '),
	);
}

if (hasTrouble) {
	const how = await node.exited;
	record.line(
		`the node ended (${how}) ${Math.round(performance.now() - stoppedAt)} ms after SIGTERM`,
	);
}

const unanswered = results.filter(({isComplete}) => !isComplete).length;
record.line(
	`${results.length} requests, ${unanswered} without a complete answer, ${lost} LOST; ${Math.round(performance.now() - startedAt)} ms`,
);
await deployment.end();
for (const worker of workers) {
	worker.close();
}

store.close();
record.end();
const isWhole = hasTrouble || unanswered === 0;
process.exit(lost > 0 ? 1 : isWhole ? 0 : 2);
