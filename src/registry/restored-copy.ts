/**
Applies the older copy from which the registry was restored. The copy becomes the new base, but no safety-relevant state is undone:

- Routes: the highest version stays in force. Routes may be missing until they are written again.
- Shutdowns: an incarnation that shuts down stays that way, whatever the copy says.
- A server that the copy lacks stays in use for the grace period of a lapsed entry.
- A server that the copy brings back after its entry was removed is held back until it is written again or the hold-back time is over.
- An evacuation that the copy lacks is retained for a limited time; one that the copy brings back is in force until it is removed.
*/
import type {MirrorChange} from './mirror-change.ts';
import {isSuperseded, type MirrorState} from './mirror-state.ts';
import {applyProvisional} from './stale-items.ts';
import {evacuationRetentionMs} from './registry-evacuations.ts';
import type {RegistryItem, RegistrySnapshot} from './registry-entry.ts';

/**
The result of applying a restored copy.
*/
export type RestoreResult = {
	readonly changes: readonly MirrorChange[];
	/**
	Number of entries that this node knew and the copy lacks.
	*/
	readonly lacking: number;
};

/**
Replaces all entries by those of a restored copy.
*/
export const applyRestoredCopy = (
	state: MirrorState,
	copy: RegistrySnapshot,
	now: number,
): RestoreResult => {
	const {rows} = state;
	const before = new Map(rows);
	rows.clear();
	state.copyRevision = copy.revision;
	const named = new Set(copy.items.map(({key}) => key));
	const missing = before
		.values()
		.filter(({key}) => !named.has(key))
		.toArray();
	return {
		changes: [
			...copy.items.flatMap((item) =>
				applyCopiedItem(state, item, before.get(item.key), now),
			),
			...missing.flatMap((row) => retainMissing(state, row, now)),
		],
		lacking: missing.length,
	};
};

const applyCopiedItem = (
	state: MirrorState,
	item: RegistryItem,
	before: RegistryItem | undefined,
	now: number,
): readonly MirrorChange[] => {
	const {rows, routes, servers, evacuations} = state;
	const {key, value, provisionalMs} = item;
	if (provisionalMs !== undefined && value?.kind === 'evacuation') {
		return applyProvisional(state, item, provisionalMs, now);
	}

	// Revision 0 lets any later write replace this row.
	if (before && isSuperseded(item, before)) {
		rows.set(key, {...before, revision: 0});
		return before.value?.kind === 'server'
			? servers.remove(before.value.server.id, true, now)
			: [];
	}

	rows.set(key, item);
	switch (value?.kind) {
		case 'server': {
			return servers.registerFromCopy(value.server, provisionalMs ?? 0, now);
		}

		case 'routes': {
			return routes.register(key, value.document);
		}

		case 'evacuation': {
			return evacuations.register(value.availabilityZone);
		}

		case 'unreadable': {
			return before?.value?.kind === 'server'
				? servers.remove(before.value.server.id, false, now)
				: [];
		}

		case undefined: {
			return [];
		}
	}
};

const retainMissing = (
	{servers, evacuations}: MirrorState,
	{key, value}: RegistryItem,
	now: number,
): readonly MirrorChange[] => {
	switch (value?.kind) {
		case 'server': {
			return servers.remove(value.server.id, true, now);
		}

		case 'evacuation': {
			const {availabilityZone} = value;
			return evacuations.retain(
				{key, availabilityZone, remainingMs: evacuationRetentionMs},
				now,
			);
		}

		case 'routes':
		case 'unreadable':
		case undefined: {
			return [];
		}
	}
};
