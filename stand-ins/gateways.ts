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
Gateway nodes of a deployment that run in this process, each at its own loopback address.
*/
export type GatewayDeployment = {
	readonly registry: StandInRegistry;
	readonly nodes: readonly Gateway[];
	readonly callerAddresses: readonly Address[];
	/**
	Returns an unused address for a backend server.
	*/
	nextAddress(): Address;
	/**
	Stops a node and starts a new one without state in its place.
	*/
	restart(index: number): Promise<void>;
	/**
	Stops all nodes but those with the given indices, then starts new ones without state in their places.

	@param whileStopped Called in between.
	*/
	restartAllBut(
		kept: readonly number[],
		whileStopped: () => Promise<void>,
	): Promise<void>;
	stop(): Promise<void>;
};

// All nodes use the same ports, because each node has its own IP address.
const callerPort = 8000;
const peerPort = 8001;
const serverPort = 8002;
const largestOctet = 250;

/**
Starts gateway nodes, assigned to the zones in round-robin order.

@param zones Region of each zone, by name of the zone.
@param count Number of nodes.
@param registry Registry that all nodes read.
@param clocks Clocks that all nodes use.
@param memoryMb Memory of each node in MB.
*/
export const startGateways = async (
	zones: Readonly<Record<string, string>>,
	count: number,
	registry: StandInRegistry = createStandInRegistry(),
	clocks: ClockSources = machineClocks,
	memoryMb?: number,
): Promise<GatewayDeployment> => {
	const network = `127.${randomInt(2, largestOctet)}.${randomInt(1, largestOctet)}`;
	let host = 0;
	const nextHost = () => {
		host += 1;
		return `${network}.${host}`;
	};

	const zoneNames = Object.keys(zones);
	const hosts = Array.from({length: count}, nextHost);
	const optionsOf = (index: number): GatewayOptions => ({
		id: `node-${index}`,
		availabilityZone: zoneNames[index % zoneNames.length]!,
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
		memoryMb,
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
		async restartAllBut(kept, whileStopped) {
			const indices = nodes
				.keys()
				.filter((index) => !kept.includes(index))
				.toArray();
			await Promise.all(indices.map(async (index) => nodes[index]!.stop()));
			await whileStopped();
			for (const index of indices) {
				nodes[index] = createNode(index);
			}

			await Promise.all(indices.map(async (index) => nodes[index]!.start()));
		},
		async stop() {
			await Promise.all(nodes.map(async (node) => node.stop()));
		},
	};
};
