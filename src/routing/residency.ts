import {Result} from 'true-myth';
import type {Client, Configuration} from '../configuration/index.ts';
import {createGatewayError, type GatewayError} from '../errors/index.ts';

/**
Regions in which a request may be served.
*/
export type Residency =
	| {readonly kind: 'anywhere'}
	| {readonly kind: 'regions'; readonly regions: readonly string[]};

/**
Residency requirements of a request and its client account.
*/
export type ResidencyClaim = {
	/**
	Regions that the request names; undefined if it has no residency header.
	*/
	readonly requested: readonly string[] | undefined;
	readonly client: Pick<Client, 'name' | 'residency' | 'residencyRequired'>;
};

declare const clearedBrand: unique symbol;

/**
 Proof that a request passed the residency guard for a region.
 
 Every function that sends a request requires one, and only `guardResidency` creates it.
 */
export type ClearedRegion = {
	readonly region: string;
	readonly [clearedBrand]: true;
};

/**
 Resolves the regions in which a request may be served; an invalid claim fails closed.
 
 The request can narrow the regions that its client account allows, but not extend them.
 */
export const resolveResidency = (
	claim: ResidencyClaim,
	configuration: Configuration,
): Result<Residency, GatewayError> => {
	const {requested, client} = claim;
	const known = new Set(configuration.regions.map(({name}) => name));
	const unknown = requested?.find((region) => !known.has(region));
	if (unknown !== undefined) {
		return Result.err(
			invalid(
				`region "${unknown}" is not configured; use one of ${[...known].join(', ')}`,
			),
		);
	}

	if (requested?.length === 0) {
		return Result.err(
			invalid('the request names an empty list of regions; name at least one'),
		);
	}

	if (requested === undefined && client.residencyRequired) {
		return Result.err(
			invalid(
				`client "${client.name}" must state a residency; send the header x-quillford-residency`,
			),
		);
	}

	return intersect(requested, client.residency);
};

const intersect = (
	requested: readonly string[] | undefined,
	allowed: readonly string[] | undefined,
): Result<Residency, GatewayError> => {
	if (requested === undefined && allowed === undefined) {
		return Result.ok({kind: 'anywhere'});
	}

	const regions = (requested ?? allowed ?? []).filter(
		(region) => allowed?.includes(region) ?? true,
	);
	return regions.length > 0
		? Result.ok({kind: 'regions', regions})
		: Result.err(
				invalid(
					'the request names regions that its client account does not allow',
				),
			);
};

/**
Whether a residency allows a region.
*/
export const isRegionAllowed = (
	residency: Residency,
	region: string,
): boolean => {
	switch (residency.kind) {
		case 'anywhere': {
			return true;
		}

		case 'regions': {
			return residency.regions.includes(region);
		}
	}
};

/**
 Residency guard of every send, at the origin and again at a receiving node.
 
 It resolves the claim against the current configuration, so that the rules in force here apply
 to a request that waited or that came from a node with another configuration version.
 */
export const guardResidency = (
	claim: ResidencyClaim,
	region: string,
	configuration: Configuration,
): Result<ClearedRegion, GatewayError> => {
	const residency = resolveResidency(claim, configuration);
	if (residency.isErr) {
		return Result.err(residency.error);
	}

	return isRegionAllowed(residency.value, region)
		? Result.ok({region} as ClearedRegion)
		: Result.err(
				createGatewayError(
					'residency-unavailable',
					`The request may not be served in region "${region}"`,
				),
			);
};

const invalid = (message: string) =>
	createGatewayError('residency-invalid', `Residency is not valid: ${message}`);
