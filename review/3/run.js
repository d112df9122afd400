/* eslint-disable camelcase, unicorn/no-process-exit -- the names are those of the pages, and a case ends with an exit code */
// The operator adds a route whose path begins with /quillford/.
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from '../caller.js';
import {createAddresses, startNodes} from '../deployment.js';
import {createRecord} from '../record.js';
import {startStore} from '../store.js';
import {streamEvents} from '../streams.js';
import {startWorker} from '../worker.js';

const hasTrouble = process.env.TROUBLE !== '0';
const host = 'ajoke.example';
const zones = {
	'abj-wuse': 'abuja',
	'ibd-bodija': 'ibadan',
	'phc-transamadi': 'portharcourt',
};
const deadlineMs = 4000;
const contactMs = 5000;
const configApplyMs = 3000;
const requests = 40;
const firstPrefix = '/clauses/';
const addedPrefix = hasTrouble ? '/quillford/' : '/drafts/';

const routeAt = (name, prefix) => ({
	name,
	host,
	path_prefix: prefix,
	kind: 'streaming',
	timeout_ms: deadlineMs,
	target_latency_ms: 800,
	priority: 0,
	service: 'quill-scribes',
	max_attempts: 2,
	sticky: true,
	resumable: true,
	gap_aim_ms: 400,
	home_regions: ['abuja', 'ibadan'],
});
const configurationOf = (version, routes) => ({
	version,
	routes,
	services: [
		{
			name: 'quill-scribes',
			health_path: '/healthz',
			max_conns: 370,
			cold_start_s: 3,
			cold_per_s: 9.7,
			engine: {slots: 64, kv_capacity: 335_639},
		},
	],
	limits: {
		max_header_bytes: 16_384,
		max_body_bytes: 4_194_304,
		header_timeout_ms: 3000,
		idle_timeout_ms: 15_000,
	},
});

const record = createRecord(import.meta.dirname);
const nextAddress = createAddresses();
const store = await startStore(nextAddress());
const first = routeAt('clause-polish', firstPrefix);
store.put('op/config', configurationOf(7, [first]));
const workers = await Promise.all(
	Object.keys(zones).map(async (zone, index) =>
		startWorker({
			store,
			id: `i-scribe${index}`,
			ip: nextAddress(),
			service: 'quill-scribes',
			zone,
			slots: 64,
			run: streamEvents,
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
await sleep(contactMs + 1000);
store.put(
	'op/config',
	configurationOf(9, [first, routeAt('clause-drafts', addedPrefix)]),
);
await sleep(configApplyMs + contactMs);

const node = deployment.nodes.at(-1);
const servedAt = async (prefix) => {
	let served = 0;
	for (let index = 0; index < requests; index += 8) {
		const results = await Promise.all(
			Array.from({length: 8}, async () =>
				call({
					address: node.front,
					host,
					target: `${prefix}2f`,
					headers: {
						'X-Quillford-Model': 'm',
						'X-Quillford-Token-Usage': '383,48',
						'X-Quillford-Prompt-Prefix': '5c1e07a2:92,e4402b7d:291',
						'X-Test-Stream': '8,20',
					},
					deadlineMs,
				}),
			),
		);
		for (const {
			attemptId,
			answer,
			endedAt,
			how,
			isComplete,
			sentAt,
		} of results) {
			const isServed = isComplete && answer.status === 200;
			served += isServed ? 1 : 0;
			const arrivals = workers.flatMap((worker) =>
				worker.arrivals.filter((arrival) => arrival.attemptId === attemptId),
			);
			record.line(
				`${prefix}2f ${attemptId}: ${how} ${answer?.status} after ${Math.round(endedAt - sentAt)} ms, reached ${arrivals.length} workers${isServed ? '' : `; ${answer?.body.toString().slice(0, 120)}`}`,
			);
		}
	}

	return served;
};

const servedFirst = await servedAt(firstPrefix);
const servedAdded = await servedAt(addedPrefix);
record.line(
	`${node.name} served ${servedFirst} of ${requests} on the first route and ${servedAdded} of ${requests} on the one added later`,
);
await deployment.end();
for (const worker of workers) {
	worker.close();
}

store.close();
record.end();
process.exit(servedAdded < servedFirst / 4 ? 1 : 0);
