import type {Logger} from '../logging/index.ts';
import type {DisabledMechanisms} from '../mechanisms/index.ts';
import type {CacheSource} from '../prompts/index.ts';
import type {RegistrySource} from '../registry/index.ts';
import type {Address, ClockSources} from '../shared/index.ts';
import type {WireHeaders} from './wire-headers.ts';

/**
What a gateway needs to know at its start.
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
	Where other nodes reach it: UDP for heartbeats, TCP for calls.
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
	Where the memory of engines is read; undefined where they do not tell of it.
	*/
	readonly caches: CacheSource | undefined;
	readonly headers: WireHeaders;
	readonly bounds: GatewayBounds;
	/**
	What is switched off, to see what it is worth.
	*/
	readonly without: DisabledMechanisms;
	readonly logger: Logger;
	/**
	What time is measured by; the clocks of this machine where it is left out.
	*/
	readonly clocks?: ClockSources;
};

/**
Bounds that hold over all nodes, as the deployment states them.
*/
export type GatewayBounds = {
	readonly retryRatio: number;
	readonly retryWindowMs: number;
	readonly retrySlack: number;
	readonly coldOverrun: number;
	readonly coldSlack: number;
	/**
	Over which client accounts are held to their limits, in milliseconds.
	*/
	readonly limitWindowMs: number;
};
