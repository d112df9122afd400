import {refuse} from '../answer.ts';
import type {Filter} from '../filter-chain.ts';
import type {ReadRequest} from '../gateway-request.ts';
import {readRequest} from '../read-request.ts';
import type {IdentifiedRequest} from './identify.ts';

/**
A request that was read, with its configuration.
*/
export type CheckedRequest = IdentifiedRequest & {
	readonly request: ReadRequest;
};

/**
What the filter is built from.
*/
export type ReadOptions = {
	readonly clock: () => number;
	readonly ownRegion: () => string;
	readonly issueId: () => string;
};

/**
Reads and checks what the request states.
*/
export const createRead =
	(options: ReadOptions): Filter<IdentifiedRequest, CheckedRequest> =>
	async (identified, next) => {
		const request = readRequest(identified.incoming, {
			configuration: identified.parsed.configuration,
			client: identified.client,
			ownRegion: options.ownRegion(),
			now: options.clock(),
			issueId: options.issueId,
		});
		return request.isOk
			? next({...identified, request: request.value})
			: refuse(request.error);
	};
