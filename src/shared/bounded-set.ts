/**
A set that forgets its earliest member when it grows beyond its bound.
*/
export type BoundedSet<Item> = {
	add(item: Item): void;
	has(item: Item): boolean;
	size(): number;
};

/**
Builds an empty set.
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
