import type {RegistryItem} from './registry-entry.ts';

/**
The latest changes of the registry, for nodes that are slightly behind.
*/
export type RegistryHistory = {
	add(item: RegistryItem): void;
	/**
	Discards all changes. The history is complete again for changes after the given revision.
	*/
	restart(revision: number): void;
	/**
	The changes after a revision; undefined if some of them were discarded.
	*/
	after(revision: number): readonly RegistryItem[] | undefined;
};

/**
Maximum number of changes retained for other nodes.
*/
export const maximumHistoryChanges = 400;

/**
Creates an empty history.
*/
export const createRegistryHistory = (): RegistryHistory => {
	const items: RegistryItem[] = [];
	let from = 0;

	return {
		add(item) {
			items.push(item);
			if (items.length > maximumHistoryChanges) {
				from = Math.max(from, items.shift()!.revision);
			}
		},
		restart(revision) {
			items.length = 0;
			from = revision;
		},
		after: (revision) =>
			revision >= from && revision > 0
				? items.filter((item) => item.revision > revision)
				: undefined,
	};
};
