// Starts a whole deployment as separate processes: platform, backend servers and entry nodes,
// with relays between the zones. Used by the quickstart, the scenarios and the benchmarks.
import {spawn, type ChildProcess} from 'node:child_process';
import {createSocket} from 'node:dgram';
import {createWriteStream, mkdtempSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {request} from 'undici';
import {openRelay, type Relay} from './relay.ts';

/**
A configuration document as plain data.
*/
export type ConfigurationDocument = {
	version: number;
	regions: Array<{name: string; availabilityZones: string[]}>;
	services: Array<{kind: string; name: string}>;
	backendServers: Array<{
		id: string;
		service: string;
		availabilityZone: string;
		address: string;
		slots: number;
	}>;
	[key: string]: unknown;
};

/**
One process of a deployment.
*/
export type Process = {
	readonly name: string;
	readonly child: ChildProcess;
	readonly address: string;
	/**
	Resolves with the exit code.
	*/
	readonly exited: Promise<number | undefined>;
};

/**
An entry node with its addresses.
*/
export type EntryNode = Process & {
	readonly availabilityZone: string;
	readonly peerAddress: string;
	readonly administrationAddress: string;
};

/**
How a deployment is set up.
*/
export type DeploymentOptions = {
	readonly document: ConfigurationDocument;
	readonly nodesPerZone: number;
	/**
	Milliseconds one way between two regions.
	*/
	readonly delayMs: number;
	readonly stepMs: number;
	readonly prefillMs: number;
	readonly nodeEnvironment?: Readonly<Record<string, string>>;
};

/**
A running deployment.
*/
export type Deployment = {
	readonly document: ConfigurationDocument;
	readonly platformAddress: string;
	readonly nodes: Map<string, EntryNode>;
	readonly backendServers: Map<string, Process>;
	/**
	Relays by the two ends they join: `zone>node` and `zone>platform`.
	*/
	readonly relays: ReadonlyMap<string, Relay>;
	readonly logFolder: string;
	startNode(name: string): Promise<EntryNode>;
	startBackendServer(id: string): Promise<Process>;
	/**
	Publishes a document and returns its text.
	*/
	publish(document: unknown): Promise<string>;
	publishText(text: string): Promise<void>;
	setVms(change?: (vm: VmEntry) => VmEntry): Promise<void>;
	control(address: string, path: string, body?: unknown): Promise<unknown>;
	administration(node: string, path: string): Promise<unknown>;
	stop(): Promise<void>;
};

/**
One VM in the stand-in's list.
*/
export type VmEntry = {
	readonly kind: 'entry' | 'backendServer';
	readonly id: string;
	readonly availabilityZone: string;
	readonly state: 'live' | 'leaving';
	readonly peerAddress?: string;
	readonly callerAddress?: string;
};

/**
The key of the administration API in deployments of this kind.
*/
export const administrationKey = 'stand-in-administration-key';

/**
The key that the nodes of such a deployment share.
*/
export const peerKey = 'stand-in-peer-key-0123456789';
const host = '127.0.0.1';
// Scenarios run side by side; each worker takes its addresses from a range of its own, below
// the range from which the system takes those of outgoing connections.
const portRange = 5000;
const workerId = Number(process.env.CUCUMBER_WORKER_ID ?? 0);
const firstPort = 10_000 + portRange * workerId;
const startTimeoutMs = 30_000;

/**
The command that runs a node; another build can be named for a comparison.
*/
const binary = (): readonly string[] => {
	const bundle = process.env.QUILLFORD_BUNDLE;
	return bundle === undefined ? ['dist/quillford'] : [process.execPath, bundle];
};

let lastPort = firstPort + (process.pid % portRange);

const canBind = async (port: number): Promise<boolean> => {
	const isTcpFree = await new Promise<boolean>((resolve) => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
	if (!isTcpFree) {
		return false;
	}

	return new Promise<boolean>((resolve) => {
		const socket = createSocket('udp4');
		socket.once('error', () => {
			resolve(false);
		});
		socket.bind(port, host, () => {
			socket.close(() => {
				resolve(true);
			});
		});
	});
};

/**
An address on this machine that is free for TCP and UDP.
*/
export const freeAddress = async (): Promise<string> => {
	for (;;) {
		lastPort = firstPort + ((lastPort + 1 - firstPort) % portRange);
		if (await canBind(lastPort)) {
			return `${host}:${lastPort}`;
		}
	}
};

const pause = async (milliseconds: number) =>
	new Promise((resolve) => {
		setTimeout(resolve, milliseconds);
	});

/**
Tries until it succeeds; fails with the last error once the time is up.
*/
export const eventually = async <Value>(
	attempt: () => Promise<Value>,
	timeoutMs: number,
): Promise<Value> => {
	const until = Date.now() + timeoutMs;
	for (;;) {
		try {
			return await attempt();
		} catch (error) {
			if (Date.now() >= until) {
				throw error;
			}

			await pause(50);
		}
	}
};

// However this process ends, what it started ends with it.
const running = new Set<ChildProcess>();

const endAll = () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
};

const start = (
	name: string,
	address: string,
	command: readonly string[],
	environment: Readonly<Record<string, string>>,
	logFolder: string,
): Process => {
	const [file, ...words] = command;
	const child = spawn(file!, words, {
		env: {...process.env, ...environment},
		stdio: ['ignore', 'pipe', 'pipe'],
	});
	const log = createWriteStream(path.join(logFolder, `${name}.log`), {
		flags: 'a',
	});
	child.stdout.pipe(log, {end: false});
	child.stderr.pipe(log, {end: false});
	running.add(child);
	const exited = new Promise<number | undefined>((resolve) => {
		child.once('exit', (code) => {
			running.delete(child);
			resolve(code ?? undefined);
		});
	});
	return {name, child, address, exited};
};

const call = async (
	url: string,
	method: 'GET' | 'POST',
	body?: string,
	headers: Readonly<Record<string, string>> = {},
): Promise<string> => {
	const answer = await request(url, {
		method,
		body,
		headers,
		signal: AbortSignal.timeout(5000),
	});
	return answer.body.text();
};

const awaitAnswer = async (
	url: string,
	headers: Readonly<Record<string, string>> = {},
) =>
	eventually(async () => call(url, 'GET', undefined, headers), startTimeoutMs);

/**
Starts a deployment and waits until every node is ready.
*/
export const startDeployment = async (
	options: DeploymentOptions,
): Promise<Deployment> => {
	process.once('exit', endAll);
	const logFolder = mkdtempSync(path.join(tmpdir(), 'quillford-'));
	const document = structuredClone(options.document);
	const regionOf = new Map(
		document.regions.flatMap(({name, availabilityZones}) =>
			availabilityZones.map((zone) => [zone, name]),
		),
	);
	const zones = regionOf.keys().toArray();
	const nodes = new Map<string, EntryNode>();
	const backendServers = new Map<string, Process>();
	const relays = new Map<string, Relay>();
	const authorization = {authorization: `Bearer ${administrationKey}`};

	const platformAddress = await freeAddress();
	const platform = start(
		'platform',
		platformAddress,
		[process.execPath, 'stand-ins/platform.ts', '--address', platformAddress],
		{},
		logFolder,
	);
	for (const server of document.backendServers) {
		server.address = await freeAddress();
	}

	const plans = new Map<
		string,
		{zone: string; caller: string; peer: string; administration: string}
	>();
	for (const zone of zones) {
		for (let index = 1; index <= options.nodesPerZone; index += 1) {
			plans.set(`${zone}-${index}`, {
				zone,
				caller: await freeAddress(),
				peer: await freeAddress(),
				administration: await freeAddress(),
			});
		}
	}

	for (const zone of zones) {
		relays.set(
			`${zone}>platform`,
			await openRelay({
				listen: await freeAddress(),
				target: platformAddress,
				delayMs: 0,
			}),
		);
		const foreign = [...plans].filter(([, plan]) => plan.zone !== zone);
		for (const [name, plan] of foreign) {
			const delayMs =
				regionOf.get(plan.zone) === regionOf.get(zone) ? 0 : options.delayMs;
			relays.set(
				`${zone}>${name}`,
				await openRelay({
					listen: await freeAddress(),
					target: plan.peer,
					delayMs,
				}),
			);
		}
	}

	const environmentOf = (name: string): Readonly<Record<string, string>> => {
		const plan = plans.get(name)!;
		const translations = [...plans]
			.filter(([, other]) => other.zone !== plan.zone)
			.map(
				([other, {peer}]) =>
					`${peer}=${relays.get(`${plan.zone}>${other}`)!.address}`,
			);
		const seeds = plans
			.values()
			.filter((other) => other.zone === plan.zone && other !== plan)
			.toArray();
		return {
			QUILLFORD_NODE_ID: name,
			QUILLFORD_AVAILABILITY_ZONE: plan.zone,
			QUILLFORD_CALLER_ADDRESS: plan.caller,
			QUILLFORD_PEER_ADDRESS: plan.peer,
			QUILLFORD_ADMINISTRATION_ADDRESS: plan.administration,
			QUILLFORD_ADMINISTRATION_KEY: administrationKey,
			QUILLFORD_PEER_KEY: peerKey,
			QUILLFORD_PLATFORM_ADDRESS: relays.get(`${plan.zone}>platform`)!.address,
			QUILLFORD_SEED_PEERS: seeds.map(({peer}) => peer).join(','),
			QUILLFORD_ADDRESS_TRANSLATIONS: translations.join(','),
			...options.nodeEnvironment,
		};
	};

	const startNode = async (name: string): Promise<EntryNode> => {
		const plan = plans.get(name)!;
		const started = start(
			name,
			plan.caller,
			[...binary(), 'serve'],
			environmentOf(name),
			logFolder,
		);
		const node = {
			...started,
			availabilityZone: plan.zone,
			peerAddress: plan.peer,
			administrationAddress: plan.administration,
		};
		nodes.set(name, node);
		await awaitAnswer(`http://${plan.caller}/healthz`);
		return node;
	};

	const startBackendServer = async (id: string): Promise<Process> => {
		const server = document.backendServers.find(
			(candidate) => candidate.id === id,
		)!;
		const service = document.services.find(
			({name}) => name === server.service,
		)!;
		const words = [
			process.execPath,
			'stand-ins/backend-server.ts',
			'--address',
			server.address,
			'--kind',
			service.kind,
			'--slots',
			String(server.slots),
			'--step-ms',
			String(options.stepMs),
			'--prefill-ms',
			String(options.prefillMs),
		];
		const started = start(id, server.address, words, {}, logFolder);
		backendServers.set(id, started);
		await awaitAnswer(`http://${server.address}/load`);
		return started;
	};

	const control = async (
		address: string,
		where: string,
		body: unknown = {},
	): Promise<unknown> =>
		JSON.parse(
			await call(
				`http://${address}/control/${where}`,
				'POST',
				typeof body === 'string' ? body : JSON.stringify(body),
			),
		);

	const publishText = async (text: string) => {
		await control(platformAddress, 'configuration', text);
	};

	const setVms = async (change: (vm: VmEntry) => VmEntry = (vm) => vm) => {
		const entries: VmEntry[] = [...plans].map(([id, plan]) => ({
			kind: 'entry',
			id,
			availabilityZone: plan.zone,
			state: 'live',
			peerAddress: plan.peer,
			callerAddress: plan.caller,
		}));
		const servers: VmEntry[] = document.backendServers.map(
			({id, availabilityZone}) => ({
				kind: 'backendServer',
				id,
				availabilityZone,
				state: 'live',
			}),
		);
		await control(
			platformAddress,
			'vms',
			[...entries, ...servers].map((vm) => change(vm)),
		);
	};

	await awaitAnswer(`http://${platformAddress}/v1/vms`);
	await publishText(JSON.stringify(document));
	await setVms();
	await Promise.all(
		document.backendServers.map(async ({id}) => startBackendServer(id)),
	);
	await Promise.all(plans.keys().map(async (name) => startNode(name)));

	const administration = async (
		node: string,
		where: string,
	): Promise<unknown> =>
		JSON.parse(
			await call(
				`http://${nodes.get(node)!.administrationAddress}/${where}`,
				'GET',
				undefined,
				authorization,
			),
		);

	// Ready means: a configuration is in force and every node knows of all the others.
	await eventually(async () => {
		for (const name of plans.keys()) {
			const ready = (await administration(name, 'ready')) as {isReady: boolean};
			const {members} = (await administration(name, 'members')) as {
				members: Array<{status: string; incarnation: number}>;
			};
			const known = members.filter(
				({status, incarnation}) => status === 'alive' && incarnation > 0,
			).length;
			if (!ready.isReady || known < plans.size - 1) {
				throw new Error(
					`node ${name} is not ready: knows ${known} others; logs in ${logFolder}`,
				);
			}
		}
	}, startTimeoutMs);

	return {
		document,
		platformAddress,
		nodes,
		backendServers,
		relays,
		logFolder,
		startNode,
		startBackendServer,
		async publish(next) {
			const text = JSON.stringify(next);
			await publishText(text);
			return text;
		},
		publishText,
		setVms,
		control,
		administration,
		async stop() {
			process.off('exit', endAll);
			const all = [platform, ...nodes.values(), ...backendServers.values()];
			for (const {child} of all) {
				child.kill('SIGKILL');
			}

			await Promise.all(all.map(async ({exited}) => exited));
			for (const relay of relays.values()) {
				relay.close();
			}
		},
	};
};
