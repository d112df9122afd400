/**
Runs one soak test. The nodes are separate processes; servers and callers run in this process.
*/
import {randomInt} from 'node:crypto';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {createRandom} from '../src/shared/index.ts';
import {killAll} from '../stand-ins/child-process.ts';
import {startRegistryServer} from '../stand-ins/registry-server.ts';
import {createStandInRegistry} from '../stand-ins/registry.ts';
import {checkSoak, type SoakHistory, type Violation} from './check-soak.ts';
import {drawWholeReturn, planFaults, type Fault} from './fault-plan.ts';
import {sendFlood, startSoakCallers} from './soak-callers.ts';
import {startSoakNodes, type SoakNodes} from './soak-nodes.ts';
import {createSoakRoutes, type SoakRoutes} from './soak-routes.ts';
import {startSoakServer, type SoakServer} from './soak-server.ts';

/**
Seed, size and load of a soak test.
*/
export type SoakOptions = {
	readonly seed: number;
	readonly nodes: number;
	readonly servers: number;
	readonly lengthMs: number;
	readonly perSecond: number;
	readonly binary: string;
	/**
	Called with a line of text when a fault starts.
	*/
	readonly onProgress?: (text: string) => void;
};

/**
Violations and records of a soak test.
*/
export type SoakResult = {
	readonly violations: readonly Violation[];
	readonly history: SoakHistory;
	readonly logFolder: string;
};

const zones = ['north', 'south'];
const serverHost = 100;
const registryHost = 250;
const port = 8002;
// Time for the nodes to discover each other.
const settleMs = 3000;
// Time to recover after the last fault.
const recoveryMs = 5000;
// Time within which callers have to be served again after all nodes and all else have returned.
const returnMs = 2000;
const recoveredLoadMs = 3000;
const maximumReadyChecks = 300;
const limitPerSecond = 4;
const extraLimitMs = 6000;
const extraBrittleMs = 4000;
// Time in which all slots are taken and requests begin to wait.
const crowdMs = 1200;

/**
Runs a soak test and checks the guarantees of the gateway.
*/
export const playSoak = async (options: SoakOptions): Promise<SoakResult> => {
	const network = `127.${randomInt(2, 250)}.${randomInt(1, 250)}`;
	const logFolder = mkdtempSync(path.join(tmpdir(), 'quillford-soak-'));
	const registry = createStandInRegistry({hasEras: options.seed % 2 === 0});
	const registryAddress = `${network}.${registryHost}:${port}`;
	const registryServer = await startRegistryServer(registry, registryAddress);
	const routes = createSoakRoutes(registry);
	const servers = await Promise.all(
		Array.from({length: options.servers}, async (_, index) =>
			startSoakServer(registry, {
				firstId: `engine-${index}`,
				address: `${network}.${serverHost + index}:${port}`,
				availabilityZone: zones[index % zones.length]!,
				firstVersion: 1 + (Math.floor(index / zones.length) % 2),
			}),
		),
	);
	const nodes = startSoakNodes({
		...options,
		network,
		zones,
		registryAddress,
		logFolder,
	});
	process.once('exit', killAll);
	try {
		await waitUntilReady(nodes);
		await sleep(settleMs);
		const finish = startSoakCallers(
			nodes.callerAddresses,
			options.perSecond,
			createRandom(options.seed + 1),
			routes.appliedVersion,
		);
		await playFaults(options, {nodes, servers, routes});
		for (const server of servers) {
			server.restart();
			server.setFatal(false);
			server.setBrittle(false);
		}

		await sleep(recoveryMs);
		// At the end, when nothing else is in trouble any more, so that what is served after it depends on the return alone.
		const closing = drawWholeReturn(options.seed, 2);
		options.onProgress?.(`closing ${describe(closing)}`);
		await playWholeReturn(closing, {nodes, servers, routes});
		await sleep(returnMs);
		const recoveredAt = performance.now();
		await sleep(recoveredLoadMs);
		const records = await finish();
		const history: SoakHistory = {
			records,
			events: servers
				.flatMap(({events}) => events)
				.toSorted((left, right) => left.at - right.at),
			fatalCrashes: servers
				.flatMap(({crashes}) => crashes)
				.toSorted((left, right) => left - right),
			falls: servers.flatMap(({falls}) => falls),
			servers: servers.length,
			disturbances: nodes.disturbances,
			wholeLosses: nodes.wholeLosses,
			lostRoutes: routes.lostRoutes,
			received: new Set(servers.flatMap(({received}) => [...received])),
			peakMemoryMb: nodes.peakMemoryMb(),
			recoveredAt,
		};
		return {violations: checkSoak(history), history, logFolder};
	} finally {
		process.off('exit', killAll);
		await nodes.stop();
		await Promise.all(servers.map(async (server) => server.close()));
		await registryServer.close();
	}
};

const waitUntilReady = async ({callerAddresses}: SoakNodes) => {
	for (let check = 0; check < maximumReadyChecks; check += 1) {
		const statuses = await Promise.all(
			callerAddresses.map(async (address) => {
				try {
					const {statusCode, body} = await request(`http://${address}/none`, {
						headers: {host: 'site.example'},
					});
					await body.dump();
					return statusCode;
				} catch {
					return 0;
				}
			}),
		);
		if (statuses.every((status) => status > 0 && status !== 503)) {
			return;
		}

		await sleep(100);
	}

	throw new Error('the nodes of the soak test did not become ready');
};

type Targets = {
	readonly nodes: SoakNodes;
	readonly servers: readonly SoakServer[];
	readonly routes: SoakRoutes;
};

const playFaults = async (options: SoakOptions, targets: Targets) => {
	const startedAt = performance.now();
	const ends: Array<Promise<void>> = [];
	for (const {at, fault} of planFaults(options)) {
		await sleep(Math.max(0, startedAt + at - performance.now()));
		options.onProgress?.(`${(at / 1000).toFixed(1)} s ${describe(fault)}`);
		ends.push(playFault(fault, targets));
	}

	await Promise.all(ends);
};

const describe = (fault: Fault): string =>
	Object.entries(fault)
		.map(([name, value]) => `${name} ${value}`)
		.join(', ');

const playFault = async (
	fault: Fault,
	{nodes, servers, routes}: Targets,
): Promise<void> => {
	switch (fault.kind) {
		case 'freeze': {
			nodes.pause(fault.node);
			await sleep(fault.forMs);
			nodes.resume(fault.node);
			return;
		}

		case 'kill': {
			return nodes.restart(fault.node, 'SIGKILL', fault.forMs / 4);
		}

		case 'stop': {
			return nodes.restart(fault.node, 'SIGTERM', fault.forMs / 4);
		}

		case 'leave': {
			servers[fault.server]!.announceShutdown();
			await sleep(fault.forMs + 4000);
			servers[fault.server]!.restart();
			return;
		}

		case 'limit': {
			servers[fault.server]!.limit(limitPerSecond);
			await sleep(fault.forMs + extraLimitMs);
			servers[fault.server]!.limit(undefined);
			return;
		}

		case 'upgrade': {
			servers[fault.server]!.upgrade();
			return;
		}

		case 'refuse':
		case 'rest':
		case 'fail':
		case 'break':
		case 'hang':
		case 'unframed':
		case 'endless':
		case 'crash': {
			servers[fault.server]!.setBehaviour(fault.kind);
			await sleep(fault.forMs);
			servers[fault.server]!.setBehaviour('sound');
			return;
		}

		case 'registry-away': {
			return routes.takeRegistryDown(fault.forMs);
		}

		case 'registry-restored': {
			return routes.restoreRegistry(fault.forMs, fault.writes);
		}

		case 'routes': {
			routes.change();
			return;
		}

		default: {
			return playServersFault(fault, {nodes, servers, routes});
		}
	}
};

type ServersFault = Extract<
	Fault,
	{
		readonly kind:
			'crowd' | 'flood' | 'silence' | 'brittle' | 'fatal-part' | 'whole-return';
	}
>;

const playServersFault = async (
	fault: ServersFault,
	{nodes, servers, routes}: Targets,
): Promise<void> => {
	switch (fault.kind) {
		case 'crowd': {
			return playCrowd(fault.node, fault.forMs, {nodes, servers});
		}

		case 'flood': {
			return sendFlood(nodes.callerAddresses[fault.node]!, fault);
		}

		case 'silence': {
			return playSilence(servers.slice(0, fault.servers), fault.forMs, routes);
		}

		case 'brittle': {
			return playBrittle(servers, fault.forMs);
		}

		case 'whole-return': {
			return playWholeReturn(fault, {nodes, servers, routes});
		}

		case 'fatal-part': {
			for (const server of servers) {
				server.setFatal(true);
			}
		}
	}
};

// Times around a return, in milliseconds: for which the registry is away before the loss and after the return, and between two returns.
const awayAroundMs = 1000;
const betweenReturnsMs = 700;

const playBeside = async (
	{beside, forMs}: Extract<Fault, {readonly kind: 'whole-return'}>,
	{servers, routes}: Targets,
): Promise<void> => {
	switch (beside) {
		case 'nothing': {
			return;
		}

		case 'registry-away': {
			return routes.takeRegistryDown(forMs + 2 * awayAroundMs);
		}

		case 'upgrade': {
			await sleep(forMs / 2);
			for (const server of servers) {
				server.upgrade();
			}

			return;
		}

		case 'crash': {
			servers[0]!.setBehaviour('crash');
			await sleep(forMs + awayAroundMs);
			servers[0]!.setBehaviour('sound');
		}
	}
};

const playWholeReturn = async (
	fault: Extract<Fault, {readonly kind: 'whole-return'}>,
	targets: Targets,
): Promise<void> => {
	const beside = playBeside(fault, targets);
	if (fault.beside === 'registry-away') {
		await sleep(awayAroundMs);
	}

	for (let time = 1; time <= fault.times; time += 1) {
		await targets.nodes.restartAll({...fault, downMs: fault.forMs});
		if (time < fault.times) {
			await sleep(betweenReturnsMs);
		}
	}

	await beside;
};

// The routes change in the middle of the silence.
const playSilence = async (
	servers: readonly SoakServer[],
	forMs: number,
	routes: SoakRoutes,
): Promise<void> => {
	for (const server of servers) {
		server.setSilent(true);
	}

	await sleep(forMs / 2);
	routes.change();
	await sleep(forMs / 2);
	for (const server of servers) {
		server.setSilent(false);
	}
};

// The node stops once requests wait for slots.
const playCrowd = async (
	node: number,
	forMs: number,
	{nodes, servers}: Pick<Targets, 'nodes' | 'servers'>,
): Promise<void> => {
	for (const server of servers) {
		server.setSlow(true);
	}

	await sleep(crowdMs);
	const restarted = nodes.restart(node, 'SIGTERM', forMs / 4);
	await sleep(forMs);
	for (const server of servers) {
		server.setSlow(false);
	}

	await restarted;
};

const playBrittle = async (
	servers: readonly SoakServer[],
	forMs: number,
): Promise<void> => {
	for (const server of servers) {
		server.setBrittle(true);
	}

	await sleep(forMs + extraBrittleMs);
	for (const server of servers) {
		server.setBrittle(false);
	}
};
