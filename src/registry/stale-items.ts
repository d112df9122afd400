/**
Applies what still counts of items that are older than the known state, or that the registry has lost.
*/
import type {MirrorChange} from './mirror-change.ts';
import type {MirrorState} from './mirror-state.ts';
import type {RegistryItem} from './registry-entry.ts';

/**
Applies state that never goes backward: later versions of the routes, and the shutdown of a server. A shutdown applies only if it
belongs to the server's current entry, or if that entry was not written since the registry was restored from an older copy.
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
Applies an evacuation that another node retains, or a server that it holds back, unless the key was written again since the restore.
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
