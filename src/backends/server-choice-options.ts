import type {DisabledMechanisms} from '../mechanisms/index.ts';
import type {Service} from '../routes/index.ts';
import type {BackendLimits} from '../backend-limits/index.ts';
import type {ServerBackoffs} from '../server-statements/server-backoffs.ts';
import type {PrefillBacklogSender} from './backend-attempt.ts';

/**
What servers are chosen by.
*/
export type ServerChoiceOptions = {
	readonly without: DisabledMechanisms;
	readonly availabilityZone: string;
	/**
	Ids of all nodes of the region that were ever heard of, this one included.
	*/
	readonly knownNodes: () => readonly string[];
	/**
	How many of them go before this one in the order for a server.
	*/
	readonly senderRank: (server: string) => number;
	/**
	How many nodes of the region serve now, this one included.
	*/
	readonly nodesServing: () => number;
	readonly service: (name: string) => Service | undefined;
	readonly coldOverrun: number;
	readonly coldSlack: number;
	/**
	Whether cold servers may be used yet; a node that has just started knows no other nodes.
	*/
	readonly mayUseCold: (now: number) => boolean;
	/**
	Whether a server is known to keep a prompt part in its memory.
	*/
	readonly isCached: (server: string, part: string) => boolean;
	/**
	Tells the other nodes of the region what a server has still to read of this node's long prompts.
	*/
	readonly sendPrefillBacklog: PrefillBacklogSender;
	/**
	The limits that servers name.
	*/
	readonly backendLimits: Pick<
		BackendLimits,
		'hasAny' | 'canSend' | 'rateOf' | 'recordSend'
	>;
	/**
	The rests that servers asked this node for.
	*/
	readonly backoffs: Pick<ServerBackoffs, 'remainingMs' | 'canSend' | 'hasAny'>;
	/**
	A number from 0 to 1, by which nodes choose differently among servers that look alike.
	*/
	readonly randomFraction: () => number;
};
