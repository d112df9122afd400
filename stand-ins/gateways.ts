import {randomInt} from 'node:crypto';
import {
	createGateway,
	type Gateway,
	type GatewayOptions,
} from '../src/gateway/index.ts';
import {createLogger} from '../src/logging/index.ts';
import {
	machineClocks,
	type Address,
	type ClockSources,
} from '../src/shared/index.ts';
import {createStandInRegistry, type StandInRegistry} from './registry.ts';
import {standInHeaders} from './stand-in-headers.ts';

/**
Nodes and backend servers of one deployment, each at an address of its own on this machine.
*/
export type GatewayDeployment = {
	readonly registry: StandInRegistry;
	readonly nodes: readonly Gateway[];
	readonly callerAddresses: readonly Address[];
	/**
	An address that nothing else uses.
	*/
	nextAddress(): Address;
	/**
	Ends a node and starts one in its place that knows nothing.
	*/
	restart(index: number): Promise<void>;
	stop(): Promise<void>;
};

// Ports of a node; each node has an IP number of its own.
const callerPort = 8000;
const peerPort = 8001;
const serverPort = 8002;
const largestOctet = 250;

/**
Starts nodes, the first ones in the first zone and so on by turns.

@param zones The region of each zone.
@param count How many nodes there are.
@param registry Read by all of them.
@param clocks The clocks of their machine.
*/
export const startGateways = async (
	zones: Readonly<Record<string, string>>,
	count: number,
	registry: StandInRegistry = createStandInRegistry(),
	clocks: ClockSources = machineClocks,
): Promise<GatewayDeployment> => {
	const network = `127.${randomInt(2, largestOctet)}.${randomInt(1, largestOctet)}`;
	let host = 0;
	const nextHost = () => {
		host += 1;
		return `${network}.${host}`;
	};

	const names = Object.keys(zones);
	const hosts = Array.from({length: count}, nextHost);
	const optionsOf = (index: number): GatewayOptions => ({
		id: `node-${index}`,
		availabilityZone: names[index % names.length]!,
		zones,
		callerAddress: `${hosts[index]!}:${callerPort}`,
		peerAddress: `${hosts[index]!}:${peerPort}`,
		contactAddress: undefined,
		seeds: () => [`${hosts[0]!}:${peerPort}`],
		registry: registry.source(),
		caches: undefined,
		headers: standInHeaders,
		without: new Set(),
		bounds: {
			retryRatio: 0.2,
			retryWindowMs: 10_000,
			retrySlack: 50,
			coldOverrun: 1.5,
			coldSlack: 3,
			limitWindowMs: 10_000,
		},
		logger: createLogger('gateway', {node: `node-${index}`}),
		clocks,
	});
	const createNode = (index: number) => createGateway(optionsOf(index));
	const nodes = hosts.map((_, index) => createNode(index));
	await Promise.all(nodes.map(async (node) => node.start()));
	return {
		registry,
		nodes,
		callerAddresses: hosts.map((each) => `${each}:${callerPort}`),
		nextAddress: () => `${nextHost()}:${serverPort}`,
		async restart(index) {
			await nodes[index]!.stop();
			nodes[index] = createNode(index);
			await nodes[index].start();
		},
		async stop() {
			await Promise.all(nodes.map(async (node) => node.stop()));
		},
	};
};
