import type {UrgencyPressure} from '../demand/index.ts';
import type {DisabledMechanisms} from '../mechanisms/index.ts';
import type {Service} from '../routes/index.ts';
import type {SlotLeases} from '../slot-leases/index.ts';
import type {BackendLimits} from '../backend-limits/index.ts';
import type {ServerBackoffs} from '../server-statements/server-backoffs.ts';
import type {PrefillBacklogSender} from './backend-attempt.ts';

/**
Options for choosing a backend server.
*/
export type ServerChoiceOptions = {
	readonly without: DisabledMechanisms;
	readonly availabilityZone: string;
	/**
	Ids of all nodes of the region that were ever known, including this one.
	*/
	readonly knownNodes: () => readonly string[];
	/**
	Number of these nodes that precede this one in rendezvous order for a server.
	*/
	readonly senderRank: (server: string) => number;
	/**
	Number of nodes of the region that currently serve requests, including this one.
	*/
	readonly nodesServing: () => number;
	readonly service: (name: string) => Service | undefined;
	readonly coldOverrun: number;
	readonly coldSlack: number;
	/**
	Whether cold servers may be used. A node that has just started does not know the other nodes yet.
	*/
	readonly mayUseCold: (now: number) => boolean;
	/**
	Whether a server is known to hold a prompt part in its cache.
	*/
	readonly isCached: (server: string, part: string) => boolean;
	/**
	Broadcasts to the other nodes of the region the tokens of this node's long prompts that a server has not processed yet.
	*/
	readonly sendPrefillBacklog: PrefillBacklogSender;
	/**
	Rate limits that servers state.
	*/
	readonly backendLimits: Pick<
		BackendLimits,
		'hasAny' | 'canSend' | 'rateOf' | 'recordSend'
	>;
	/**
	Backoffs that servers requested from this node.
	*/
	readonly backoffs: Pick<ServerBackoffs, 'remainingMs' | 'canSend' | 'hasAny'>;
	/**
	Returns a random number from 0 to 1, which makes nodes choose differently among servers with similar costs.
	*/
	readonly randomFraction: () => number;
	/**
	The distinct priorities of a service's routes in ascending order, if its servers are filled by urgency; otherwise undefined.
	*/
	readonly urgencyLevels?: (service: string) => readonly number[] | undefined;
	/**
	Leases of slots at servers that fail when they have to refuse too many requests.
	*/
	readonly slotLeases?: Pick<
		SlotLeases,
		| 'isRequired'
		| 'availability'
		| 'canRequest'
		| 'request'
		| 'recordSend'
		| 'recordEnd'
	>;
	/**
	Whether an open connection to a server is idle.
	*/
	readonly hasIdleConnection?: (server: string) => boolean;
	/**
	Lowers the capacity that less urgent requests may use.
	*/
	readonly urgencyPressure?: Pick<UrgencyPressure, 'factor'>;
};
