import {
	isBefore,
	startPosition,
	type RegistryPosition,
} from './registry-position.ts';
import type {RegistryStamp} from './registry-stamp.ts';

/**
What to ask another node for, given its stamp: what came after the own position, everything, or nothing. Everything is asked for where the
other node has later routes, or, once an era, where it holds to what the registry has lost. Revisions of a node that states no era say
nothing once an era is known.
*/
export const catchUpPosition = (
	own: RegistryStamp & RegistryPosition,
	told: RegistryStamp,
	introducedEra: number | undefined,
): RegistryPosition | undefined => {
	const era = told.era ?? startPosition.era;
	if (isBefore(own, {era, revision: told.revision})) {
		return {era: own.era, revision: own.revision};
	}

	const canKeepMore =
		told.isAheadOfRegistry && era === own.era && introducedEra !== own.era;
	return canKeepMore || told.routesVersion > own.routesVersion
		? startPosition
		: undefined;
};
