// Processor time of a fresh node for each request, while its code is still being compiled: nodes that
// start anew after a loss of power spend most of their time in this state.
import {spawn, type ChildProcess} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {productHeaders} from '../src/gateway/index.ts';
import type {Route} from '../src/routes/index.ts';
import {
	startStandInServer,
	type StandInAnswer,
} from '../stand-ins/registered-server.ts';
import {
	createStandInRegistry,
	writeRoutes,
	type StandInRegistry,
} from '../stand-ins/registry.ts';
import {startRegistryServer} from '../stand-ins/registry-server.ts';
import {processorSeconds, residentMegabytes} from './process-figures.ts';
import {printTable, type Row} from './table.ts';

const requestsPerSecond = 60;
const spanSeconds = 10;
const spans = 3;
const idleSeconds = 5;
const serversOfEach = 3;
const eventsOfStream = 20;
const startTurns = 200;
const turnMs = 25;

const dispatcher = new Agent({connections: 200, pipelining: 1});

const answers: Readonly<Record<string, StandInAnswer>> = {
	whole: {kind: 'whole', text: 'done '.repeat(100)},
	streamed: {kind: 'events', count: eventsOfStream, pauseMs: 10},
};

const routeOf = (service: string): Route => ({
	name: service,
	host: 'site.example',
	pathPrefix: `/${service}/`,
	kind: 'idempotent',
	services: [{service, weight: 1}],
	timeoutMs: 4000,
	targetLatencyMs: 400,
	priority: 1,
	maximumAttempts: 2,
	isResumable: service === 'streamed',
	isSticky: false,
	homeRegions: [],
	isPublic: true,
});

const enterRoutes = (registry: StandInRegistry) => {
	writeRoutes(registry, {
		version: 1,
		routes: Object.keys(answers).map((service) => routeOf(service)),
		services: Object.keys(answers).map((name) => ({
			name,
			healthPath: '/health',
			maximumConnections: 100,
			coldRequestsPerSecond: 0,
			engine: undefined,
		})),
		limits: {
			maximumHeaderBytes: 16_384,
			maximumBodyBytes: 1_048_576,
			headerTimeoutMs: 3000,
			idleTimeoutMs: 15_000,
		},
		clients: undefined,
	});
};

const ask = async (caller: string, service: string): Promise<number> => {
	const answer = await request(`http://${caller}/${service}/page`, {
		dispatcher,
		method: 'POST',
		headers: {
			host: 'site.example',
			[productHeaders.requestId]: `request-${randomInt(1, 1_000_000_000)}`,
		},
		body: '{"prompt":"Which papers does the court want by Monday?"}',
	});
	await answer.body.text();
	return answer.statusCode;
};

const awaitServing = async (caller: string) => {
	for (let turn = 0; turn < startTurns; turn += 1) {
		try {
			if ((await ask(caller, 'whole')) === 200) {
				return;
			}
		} catch {
			// Not listening yet.
		}

		await sleep(turnMs);
	}

	throw new Error('The node did not come up; read what it wrote');
};

const sendSpan = async (caller: string): Promise<number> => {
	const pending: Array<Promise<number>> = [];
	const total = requestsPerSecond * spanSeconds;
	for (let index = 0; index < total; index += 1) {
		pending.push(ask(caller, index % 2 === 0 ? 'whole' : 'streamed'));
		await sleep(1000 / requestsPerSecond);
	}

	const statuses = await Promise.all(pending);
	const failed = statuses.filter((status) => status !== 200).length;
	if (failed > 0) {
		throw new Error(`${failed} of ${total} requests failed`);
	}

	return total;
};

const measureNode = async (
	caller: string,
	pid: number,
): Promise<readonly Row[]> => {
	const rows: Row[] = [
		{
			span: 'start',
			coreSeconds: processorSeconds(pid),
			megabytes: residentMegabytes(pid),
		},
	];
	for (let span = 1; span <= spans; span += 1) {
		const before = processorSeconds(pid);
		const sent = await sendSpan(caller);
		const used = processorSeconds(pid) - before;
		rows.push({
			span: `${requestsPerSecond} requests/s, ${spanSeconds} s, ${span}`,
			coreSeconds: used,
			millisecondsPerRequest: (used * 1000) / sent,
			megabytes: residentMegabytes(pid),
		});
	}

	const before = processorSeconds(pid);
	await sleep(idleSeconds * 1000);
	rows.push({
		span: 'idle',
		coreSeconds: (processorSeconds(pid) - before) / idleSeconds,
		megabytes: residentMegabytes(pid),
	});
	return rows;
};

const startServers = async (registry: StandInRegistry, network: string) => {
	const servers = [];
	for (const [service, answer] of Object.entries(answers)) {
		for (let index = 1; index <= serversOfEach; index += 1) {
			servers.push(
				await startStandInServer(
					registry,
					{
						id: `${service}-${index}`,
						service,
						address: `${network}.${10 + servers.length}:8000`,
						availabilityZone: 'north',
						slots: 32,
					},
					answer,
					productHeaders,
				),
			);
		}
	}

	return servers;
};

const startNode = (network: string): ChildProcess =>
	spawn(
		'dist/quillford',
		[
			'gateway',
			'--node-id=node-1',
			'--availability-zone=north',
			'--zones=north=upland',
			`--caller-address=${network}.1:8000`,
			`--peer-address=${network}.1:8001`,
			`--registry-address=${network}.2:8000`,
		],
		{stdio: 'ignore'},
	);

/**
Measures a node that has just started, under a small steady load, and idle after it.
*/
export const measureProcessor = async (): Promise<readonly Row[]> => {
	const network = `127.${randomInt(2, 250)}.${randomInt(1, 250)}`;
	const registry = createStandInRegistry();
	const registryServer = await startRegistryServer(
		registry,
		`${network}.2:8000`,
	);
	const servers = await startServers(registry, network);
	enterRoutes(registry);
	const node = startNode(network);
	try {
		const caller = `${network}.1:8000`;
		await awaitServing(caller);
		const rows = await measureNode(caller, node.pid!);
		printTable(rows);
		return rows;
	} finally {
		node.kill('SIGKILL');
		await Promise.all(servers.map(async (server) => server.close()));
		await registryServer.close();
	}
};
