import type {RegistryMirror} from './registry-mirror.ts';
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
export const questionFor = (
	mirror: Pick<RegistryMirror, 'position' | 'routes'>,
	stamp: RegistryStamp,
	introducedEra: number | undefined,
): RegistryPosition | undefined => {
	const own = mirror.position();
	const told = {...stamp, era: stamp.era ?? startPosition.era};
	if (isBefore(own, told)) {
		return own;
	}

	const hasLaterRoutes =
		stamp.routesVersion > (mirror.routes()?.document.version ?? 0);
	const canKeepMore =
		stamp.isBeyondRegistry && told.era === own.era && introducedEra !== own.era;
	return hasLaterRoutes || canKeepMore ? startPosition : undefined;
};
