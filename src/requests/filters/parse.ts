import {refuse} from '../answer.ts';
import type {Filter} from '../filter-chain.ts';
import type {ParsedRequest} from '../gateway-request.ts';
import {parseRequest} from '../parse-request.ts';
import type {IdentifiedRequest} from './identify.ts';

/**
A parsed request with the configuration that applies to it.
*/
export type RequestWithConfiguration = IdentifiedRequest & {
	readonly request: ParsedRequest;
};

/**
Options of `createParseFilter`.
*/
export type ParseFilterOptions = {
	readonly clock: () => number;
	readonly localRegion: () => string;
	readonly issueId: () => string;
};

/**
Creates the filter that parses and validates a request.
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
