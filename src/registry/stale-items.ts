/**
What counts of statements that are older than what is known, or that the registry has lost.
*/
import type {MirrorChange} from './mirror-change.ts';
import type {MirrorState} from './mirror-state.ts';
import type {RegistryItem} from './registry-entry.ts';

/**
Takes what never goes back: later versions of the routes, and the shutdown of a server. The latter only while its entry is the one
that the shutdown belongs to, or has not been written since the registry came back from an older copy.
*/
export const applyMonotonic = (
	{rows, routes, servers, copyRevision}: MirrorState,
	{key, revision, value}: RegistryItem,
	isOfEarlierEra: boolean,
): readonly MirrorChange[] => {
	switch (value?.kind) {
		case 'routes': {
			return routes.offer(key, value.document);
		}

		case 'server': {
			const known = rows.get(key)?.revision ?? 0;
			const isOfSameEntry = isOfEarlierEra
				? known <= copyRevision
				: known === revision;
			return isOfSameEntry && value.server.isLeaving
				? servers.recordPeerShutdown(value.server)
				: [];
		}

		case 'evacuation':
		case 'unreadable':
		case undefined: {
			return [];
		}
	}
};

/**
Takes what another node keeps or holds back beyond the registry, unless it has been written again.
*/
export const applyProvisional = (
	{rows, servers, evacuations, copyRevision}: MirrorState,
	{key, value}: RegistryItem,
	remainingMs: number,
	now: number,
): readonly MirrorChange[] => {
	const row = rows.get(key);
	if (row && row.revision > copyRevision) {
		return [];
	}

	switch (value?.kind) {
		case 'evacuation': {
			const {availabilityZone} = value;
			return row
				? []
				: evacuations.retain({key, availabilityZone, remainingMs}, now);
		}

		case 'server': {
			return row ? servers.holdBack(value.server, remainingMs, now) : [];
		}

		case 'routes':
		case 'unreadable':
		case undefined: {
			return [];
		}
	}
};
