import {createGatewayError, type GatewayError} from '../errors/index.ts';
import type {GatewayRequest} from './gateway-request.ts';

/**
Error for a request that no backend server can take.
*/
export const noCandidateError = (reason: string): GatewayError =>
	createGatewayError(
		'no-candidate',
		`No backend server can take the request: ${reason}`,
	);

/**
Error for a request that no zone can serve; the message depends on the residency and on the number of allowed regions.
*/
export const noZoneError = (
	request: GatewayRequest,
	allowedRegions: number,
): GatewayError => {
	if (
		request.claim.requested !== undefined ||
		request.claim.client.residency !== undefined
	) {
		return createGatewayError(
			'residency-unavailable',
			'No region that the request may be served in can be reached or has a backend server for it now',
		);
	}

	return noCandidateError(
		allowedRegions === 0
			? 'no region is allowed'
			: 'no zone with a backend server can be reached',
	);
};
