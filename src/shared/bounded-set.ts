/**
A set with a maximum size. When it is full, adding an item evicts the item that was added first.
*/
export type BoundedSet<Item> = {
	add(item: Item): void;
	has(item: Item): boolean;
	size(): number;
};

/**
Creates an empty bounded set.
*/
export const createBoundedSet = <Item>(
	maximumSize: number,
): BoundedSet<Item> => {
	const items = new Set<Item>();

	return {
		add(item) {
			items.add(item);
			if (items.size > maximumSize) {
				items.delete(items.values().next().value!);
			}
		},
		has: (item) => items.has(item),
		size: () => items.size,
	};
};
