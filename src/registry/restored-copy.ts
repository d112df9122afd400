/**
Takes the older copy that the registry came back from. What it says is the new base, but nothing safe goes back:

- Routes: the highest version stays in force. Whether routes are missing is open until they are written again.
- Shutdowns: a life that leaves does so whatever the copy says.
- A server that the copy lacks stays in use for the grace of a lapsed entry.
- A server that the copy brings back after its entry was removed is held back until it is written again or has lasted.
- An evacuation that the copy lacks is kept for a time; one that it brings back holds until it is removed.
*/
import type {MirrorChange} from './mirror-change.ts';
import {isSuperseded, type MirrorState} from './mirror-state.ts';
import {applyProvisional} from './stale-items.ts';
import {evacuationRetentionMs} from './registry-evacuations.ts';
import type {RegistryItem, RegistrySnapshot} from './registry-entry.ts';

/**
What became of the entries of a copy.
*/
export type RestoreResult = {
	readonly changes: readonly MirrorChange[];
	/**
	Entries known before that the copy lacks.
	*/
	readonly lacking: number;
};

/**
Replaces all entries by those of a copy.
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
				takeCopied(state, item, before.get(item.key), now),
			),
			...missing.flatMap((row) => keepMissing(state, row, now)),
		],
		lacking: missing.length,
	};
};

const takeCopied = (
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

	// Any later statement counts, whatever its revision.
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

const keepMissing = (
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
