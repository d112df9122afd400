import type {Buffer} from 'node:buffer';
import type {Labels} from '../policies/index.ts';

/**
 A request as one node forwards it to another.
 
 A request makes at most one hop between nodes: the receiver serves it from its own zone
 or refuses it, and cannot forward it again.
 */
export type ForwardCall = {
	/**
	`serve`: the receiver runs the request on a backend server in its zone. `redeem`: the receiver issued the permit of
	the request.
	*/
	readonly purpose: 'serve' | 'redeem';
	readonly requestId: string;
	readonly attemptId: string;
	readonly attempt: number;
	readonly clientName: string;
	readonly policyName: string;
	readonly serviceName: string;
	readonly model: string | undefined;
	readonly labels: Labels;
	readonly requestedResidency: readonly string[] | undefined;
	readonly homeRegion: string;
	readonly priority: number;
	readonly remainingMs: number;
	readonly isRepeatable: boolean;
	readonly isStreaming: boolean;
	readonly session: string;
	readonly prefixKey: string;
	readonly resumeFrom: number;
	readonly method: string;
	readonly url: string;
	readonly contentType: string | undefined;
	readonly body: Buffer;
};

/**
The metadata of a forwarded request and of the node that sent it.
*/
export type ForwardEnvelope = Omit<ForwardCall, 'body'> & {
	readonly origin: string;
	readonly originZone: string;
	readonly configurationVersion: number;
};
