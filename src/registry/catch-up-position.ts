import {
	isBefore,
	startPosition,
	type RegistryPosition,
} from './registry-position.ts';
import type {RegistryStamp} from './registry-stamp.ts';

/**
The position from which to request changes of another node, given that node's stamp: this node's own position, the start position for
a full read, or undefined for no request. A full read is needed if the other node has later routes, or, once per era, if it is ahead of
the registry. Once an era is known, the revision of a node that states no era is ignored.
*/
export const catchUpPosition = (
	own: RegistryStamp & RegistryPosition,
	peer: RegistryStamp,
	introducedEra: number | undefined,
): RegistryPosition | undefined => {
	const era = peer.era ?? startPosition.era;
	if (isBefore(own, {era, revision: peer.revision})) {
		return {era: own.era, revision: own.revision};
	}

	const canHoldMore =
		peer.isAheadOfRegistry && era === own.era && introducedEra !== own.era;
	return canHoldMore || peer.routesVersion > own.routesVersion
		? startPosition
		: undefined;
};
