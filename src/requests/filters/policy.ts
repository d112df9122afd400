import {createGatewayError} from '../../errors/index.ts';
import {matchPolicy, orderedPolicies} from '../../policies/index.ts';
import type {Configuration, Policy} from '../../configuration/index.ts';
import {refuse} from '../answer.ts';
import type {Filter} from '../filter-chain.ts';
import type {GatewayRequest} from '../gateway-request.ts';
import type {RequestWithConfiguration} from './parse.ts';

/**
Matches the policy that applies to a request.
*/
export const createPolicyFilter = (
	wallClock: () => number,
): Filter<RequestWithConfiguration, GatewayRequest> => {
	let ordered:
		| {
				readonly configuration: Configuration;
				readonly policies: readonly Policy[];
		  }
		| undefined;
	return async ({request, parsed}, next) => {
		const {configuration} = parsed;
		if (ordered?.configuration !== configuration) {
			ordered = {configuration, policies: orderedPolicies(configuration)};
		}

		const policy = matchPolicy(ordered.policies, {
			labels: request.labels,
			clientName: request.client.name,
			session: request.session,
			wallClock: wallClock(),
		});
		return policy
			? next({...request, policy})
			: refuse(
					createGatewayError(
						'no-candidate',
						'No policy applies to the request; see "quillford explain"',
					),
				);
	};
};
