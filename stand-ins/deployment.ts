// Starts a complete deployment as separate processes: platform, backend servers and entry nodes,
// with relays between the zones. The quickstart, the scenarios and the benchmarks use it.
import {existsSync, mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {killAll, startProcess, type Process} from './child-process.ts';
import type {ConfigurationDocument} from './configuration-document.ts';
import {callAdministration, awaitAnswer, control} from './deployment-calls.ts';
import {eventually} from './eventually.ts';
import {freeAddress} from './free-address.ts';
import {environmentOf, openRelays, planNodes} from './node-plans.ts';
import type {Relay} from './relay.ts';
import {vmEntriesOf, type VmEntry} from './vm-entries.ts';

/**
Process of an entry node, with its zone and addresses.
*/
export type EntryNode = Process & {
	readonly availabilityZone: string;
	readonly peerAddress: string;
	readonly administrationAddress: string;
};

/**
Size, timing and configuration of a deployment.
*/
export type DeploymentOptions = {
	readonly document: ConfigurationDocument;
	readonly nodesPerZone: number;
	/**
	One-way delay between two regions, in milliseconds.
	*/
	readonly delayMs: number;
	readonly stepMs: number;
	readonly prefillMs: number;
	readonly nodeEnvironment?: Readonly<Record<string, string>>;
};

/**
Controls a running deployment.
*/
export type Deployment = {
	readonly document: ConfigurationDocument;
	readonly platformAddress: string;
	readonly nodes: Map<string, EntryNode>;
	readonly backendServers: Map<string, Process>;
	/**
	Relays, keyed by their ends: `zone>node` and `zone>platform`.
	*/
	readonly relays: ReadonlyMap<string, Relay>;
	readonly logFolder: string;
	startNode(name: string): Promise<EntryNode>;
	startBackendServer(id: string): Promise<Process>;
	/**
	Publishes a configuration document and returns its text.
	*/
	publish(document: unknown): Promise<string>;
	publishText(text: string): Promise<void>;
	setVms(change?: (vm: VmEntry) => VmEntry): Promise<void>;
	control(address: string, path: string, body?: unknown): Promise<unknown>;
	administration(node: string, path: string): Promise<unknown>;
	stop(): Promise<void>;
};

const startTimeoutMs = 30_000;

const builtBinary = 'dist/quillford';

/**
Returns the command that runs a node. `QUILLFORD_BUNDLE` selects another build.
*/
const nodeCommand = (): readonly string[] => {
	const bundle = process.env.QUILLFORD_BUNDLE;
	if (bundle !== undefined) {
		return [process.execPath, bundle];
	}

	if (!existsSync(builtBinary)) {
		throw new Error(
			`${builtBinary} does not exist: run \`npm run build\` before the tests that start nodes`,
		);
	}

	return [builtBinary];
};

/**
Starts a deployment and waits until every node is ready.
*/
export const startDeployment = async (
	options: DeploymentOptions,
): Promise<Deployment> => {
	// This may throw, so it runs first: processes that were already started would keep the tests from ending.
	const command = nodeCommand();
	process.once('exit', killAll);
	const logFolder = mkdtempSync(path.join(tmpdir(), 'quillford-'));
	const document = structuredClone(options.document);
	const regionOf = new Map(
		document.regions.flatMap(({name, availabilityZones}) =>
			availabilityZones.map((zone) => [zone, name]),
		),
	);
	const nodes = new Map<string, EntryNode>();
	const backendServers = new Map<string, Process>();

	const platformAddress = await freeAddress();
	const platform = startProcess({
		name: 'platform',
		address: platformAddress,
		command: [
			process.execPath,
			'stand-ins/platform.ts',
			'--address',
			platformAddress,
		],
		logFolder,
	});
	for (const server of document.backendServers) {
		server.address = await freeAddress();
	}

	const plans = await planNodes(
		regionOf.keys().toArray(),
		options.nodesPerZone,
	);
	const relays = await openRelays(
		plans,
		regionOf,
		platformAddress,
		options.delayMs,
	);

	const startNode = async (name: string): Promise<EntryNode> => {
		const plan = plans.get(name)!;
		const started = startProcess({
			name,
			address: plan.caller,
			command: [...command, 'serve'],
			environment: {
				...environmentOf(name, plans, relays),
				...options.nodeEnvironment,
			},
			logFolder,
		});
		const node = {
			...started,
			availabilityZone: plan.availabilityZone,
			peerAddress: plan.peer,
			administrationAddress: plan.administration,
		};
		nodes.set(name, node);
		await awaitAnswer(`http://${plan.caller}/healthz`, startTimeoutMs);
		return node;
	};

	const startBackendServer = async (id: string): Promise<Process> => {
		const server = document.backendServers.find(
			(candidate) => candidate.id === id,
		)!;
		const service = document.services.find(
			({name}) => name === server.service,
		)!;
		const started = startProcess({
			name: id,
			address: server.address,
			command: backendCommand(server, service.kind, options),
			logFolder,
		});
		backendServers.set(id, started);
		await awaitAnswer(`http://${server.address}/load`, startTimeoutMs);
		return started;
	};

	const publishText = async (text: string) => {
		await control(platformAddress, 'configuration', text);
	};

	const setVms = async (change: (vm: VmEntry) => VmEntry = (vm) => vm) => {
		await control(
			platformAddress,
			'vms',
			vmEntriesOf(plans, document).map((vm) => change(vm)),
		);
	};

	await awaitAnswer(`http://${platformAddress}/v1/vms`, startTimeoutMs);
	await publishText(JSON.stringify(document));
	await setVms();
	await Promise.all(
		document.backendServers.map(async ({id}) => startBackendServer(id)),
	);
	await Promise.all(plans.keys().map(async (name) => startNode(name)));

	const administration = async (node: string, endpoint: string) =>
		callAdministration(nodes.get(node)!.administrationAddress, endpoint);
	await eventually(async () => {
		for (const name of plans.keys()) {
			await checkReady(name, plans.size, administration, logFolder);
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
			process.off('exit', killAll);
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

const backendCommand = (
	{address, slots}: ConfigurationDocument['backendServers'][number],
	kind: string,
	{stepMs, prefillMs}: DeploymentOptions,
): readonly string[] => [
	process.execPath,
	'stand-ins/backend-server.ts',
	'--address',
	address,
	'--kind',
	kind,
	'--slots',
	String(slots),
	'--step-ms',
	String(stepMs),
	'--prefill-ms',
	String(prefillMs),
];

// Throws unless the node has a configuration in force and knows all other nodes.
const checkReady = async (
	name: string,
	nodeCount: number,
	administration: Deployment['administration'],
	logFolder: string,
) => {
	const ready = (await administration(name, 'ready')) as {isReady: boolean};
	const {members} = (await administration(name, 'members')) as {
		members: Array<{status: string; incarnation: number}>;
	};
	const known = members.filter(
		({status, incarnation}) => status === 'alive' && incarnation > 0,
	).length;
	if (!ready.isReady || known < nodeCount - 1) {
		throw new Error(
			`node ${name} is not ready: it knows ${known} other nodes; logs in ${logFolder}`,
		);
	}
};
