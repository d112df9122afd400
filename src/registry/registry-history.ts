import type {RegistryItem} from './registry-entry.ts';

/**
The latest changes of the registry, for nodes that are a little behind.
*/
export type RegistryHistory = {
	add(item: RegistryItem): void;
	/**
	Forgets all changes; those after a revision will be complete.
	*/
	restart(revision: number): void;
	/**
	The changes after a revision; undefined where they are not all kept.
	*/
	after(revision: number): readonly RegistryItem[] | undefined;
};

/**
Changes kept for other nodes.
*/
export const maximumHistoryChanges = 400;

/**
Builds an empty history.
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
