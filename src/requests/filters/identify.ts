import type {Client, ParsedConfiguration} from '../../configuration/index.ts';
import {refuse} from '../answer.ts';
import type {Filter} from '../filter-chain.ts';
import {identifyClient} from '../identify-client.ts';
import type {IncomingRequest} from '../incoming-request.ts';

/**
A request with the configuration that applies to it.
*/
export type ReadyRequest = {
	readonly incoming: IncomingRequest;
	readonly parsed: ParsedConfiguration;
};

/**
A request whose client account is known.
*/
export type IdentifiedRequest = ReadyRequest & {readonly client: Client};

/**
Identifies the client account, or answers `unauthenticated`.
*/
export const identifyFilter: Filter<ReadyRequest, IdentifiedRequest> = async (
	ready,
	next,
) => {
	const client = identifyClient(ready.incoming, ready.parsed.configuration);
	return client.isOk
		? next({...ready, client: client.value})
		: refuse(client.error);
};
