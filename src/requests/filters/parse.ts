import {refuse} from '../answer.ts';
import type {Filter} from '../filter-chain.ts';
import type {ParsedRequest} from '../gateway-request.ts';
import {parseRequest} from '../parse-request.ts';
import type {IdentifiedRequest} from './identify.ts';

/**
A request that was read, with its configuration.
*/
export type RequestWithConfiguration = IdentifiedRequest & {
	readonly request: ParsedRequest;
};

/**
What the filter is built from.
*/
export type ParseFilterOptions = {
	readonly clock: () => number;
	readonly localRegion: () => string;
	readonly issueId: () => string;
};

/**
Reads and checks what the request states.
*/
export const createParseFilter =
	(
		options: ParseFilterOptions,
	): Filter<IdentifiedRequest, RequestWithConfiguration> =>
	async (identified, next) => {
		const request = parseRequest(identified.incoming, {
			configuration: identified.parsed.configuration,
			client: identified.client,
			localRegion: options.localRegion(),
			now: options.clock(),
			issueId: options.issueId,
		});
		return request.isOk
			? next({...identified, request: request.value})
			: refuse(request.error);
	};
