import {createGatewayError} from '../../errors/index.ts';
import type {ClientLimits} from '../../limits/index.ts';
import {refuse} from '../answer.ts';
import type {Filter} from '../filter-chain.ts';
import type {GatewayRequest} from '../gateway-request.ts';

/**
Applies the rate limit of the client; a request above it is rejected at once.
*/
export const createLimitFilter =
	(
		limits: ClientLimits,
		clock: () => number,
	): Filter<GatewayRequest, GatewayRequest> =>
	async (request, next) => {
		const verdict = limits.admit(request.client, clock());
		switch (verdict.kind) {
			case 'admitted': {
				return next(request);
			}

			case 'limited': {
				const message = `Client "${request.client.name}" is over its limit of ${request.client.requestsPerSecond} requests per second`;
				return refuse(
					createGatewayError('limit-exceeded', message, {
						retryAfterSeconds: verdict.retryAfterSeconds,
					}),
				);
			}
		}
	};
