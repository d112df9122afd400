import type {BindAddress} from '../listening/index.ts';
import type {Logger} from '../logging/index.ts';
import type {DisabledMechanisms} from '../mechanisms/index.ts';
import type {CacheSource} from '../prompts/index.ts';
import type {RegistrySource} from '../registry/index.ts';
import type {Address, ClockSources} from '../shared/index.ts';
import type {WireHeaders} from './wire-headers.ts';

/**
Options of `createGateway`.
*/
export type GatewayOptions = {
	readonly id: string;
	readonly availabilityZone: string;
	/**
	All availability zones and their regions.
	*/
	readonly zones: Readonly<Record<string, string>>;
	readonly callerAddress: Address;
	/**
	Address at which other nodes reach this one: UDP for heartbeats, TCP for calls.
	*/
	readonly peerAddress: Address;
	/**
	A second address for the first contact of other nodes.
	*/
	readonly contactAddress: Address | undefined;
	/**
	Contact addresses of other nodes; may change.
	*/
	readonly seeds: () => readonly Address[];
	readonly registry: RegistrySource;
	/**
	Source of the cache contents of engines; undefined if engines do not report them.
	*/
	readonly caches: CacheSource | undefined;
	readonly headers: WireHeaders;
	readonly bounds: GatewayBounds;
	/**
	Processor time that the node may use, in cores.
	*/
	readonly processorCores?: number | undefined;
	/**
	Whether the node refuses requests while its event loop is overloaded, the least urgent first, and counts the wait in the socket
	into the time limits of requests. Off by default: nodes of a small fraction of a core serve some loads better without it.
	*/
	readonly refusesWhenOverloaded?: boolean;
	/**
	Bandwidth of the machine's link, in megabits per second.
	*/
	readonly linkMbps?: number | undefined;
	/**
	Mechanisms that are disabled, to measure their benefit.
	*/
	readonly without: DisabledMechanisms;
	readonly logger: Logger;
	/**
	Memory of the node in MB; that of the machine if omitted.
	*/
	readonly memoryMb?: number | undefined;
	/**
	File descriptors that the node may use; those that the operating system allows if omitted.
	*/
	readonly maximumDescriptors?: number | undefined;
	/**
	Opens the sockets of the node; makes one attempt each if omitted.
	*/
	readonly bind?: BindAddress;
	/**
	Clock sources; those of this machine if omitted.
	*/
	readonly clocks?: ClockSources;
};

/**
Bounds that apply to all nodes together, as configured by the deployment.
*/
export type GatewayBounds = {
	readonly retryRatio: number;
	readonly retryWindowMs: number;
	readonly retrySlack: number;
	readonly coldOverrun: number;
	readonly coldSlack: number;
	/**
	Window over which the limits of client accounts are enforced, in milliseconds.
	*/
	readonly limitWindowMs: number;
};
