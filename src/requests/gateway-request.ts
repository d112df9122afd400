import type {Buffer} from 'node:buffer';
import type {Client, Policy, Service} from '../configuration/index.ts';
import type {Labels} from '../policies/index.ts';
import type {ResidencyClaim} from '../routing/index.ts';

/**
A parsed and validated request, before policy matching.
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
	Priority from 0 to 9; higher values are served first.
	*/
	readonly priority: number;
	/**
	Time by which the response must have started, in milliseconds of this node's clock.
	*/
	readonly deadline: number;
	readonly isRepeatable: boolean;
	readonly session: string;
	/**
	Hash of the prompt prefix; requests with the same prefix have the same key.
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
