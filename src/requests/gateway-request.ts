import type {Buffer} from 'node:buffer';
import type {Client, Policy, Service} from '../configuration/index.ts';
import type {Labels} from '../policies/index.ts';
import type {ResidencyClaim} from '../routing/index.ts';

/**
A request that was read and checked; a policy is still to be matched.
*/
export type ParsedRequest = {
	readonly requestId: string;
	readonly client: Client;
	readonly service: Service;
	readonly model: string | undefined;
	readonly isStreaming: boolean;
	readonly labels: Labels;
	readonly claim: ResidencyClaim;
	readonly homeRegion: string;
	/**
	From 0 to 9; higher goes first.
	*/
	readonly priority: number;
	/**
	By the clock of this node, in milliseconds: when the answer must have begun.
	*/
	readonly deadline: number;
	readonly isRepeatable: boolean;
	readonly session: string;
	/**
	Groups requests that share a prompt prefix.
	*/
	readonly prefixKey: string;
	readonly method: string;
	readonly url: string;
	readonly contentType: string | undefined;
	readonly body: Buffer;
	readonly signal: AbortSignal;
};

/**
A request with the policy that applies to it.
*/
export type GatewayRequest = ParsedRequest & {readonly policy: Policy};
