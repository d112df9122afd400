/**
A map with a maximum size. When it is full, adding a key evicts the entry that was set the longest ago.
*/
export type BoundedMap<Key, Value> = {
	/**
	Sets a value. Setting an existing key makes it the most recent entry.
	*/
	set(key: Key, value: Value): void;
	get(key: Key): Value | undefined;
};

/**
Creates an empty bounded map.
*/
export const createBoundedMap = <Key, Value>(
	maximumSize: number,
): BoundedMap<Key, Value> => {
	const entries = new Map<Key, Value>();

	return {
		set(key, value) {
			entries.delete(key);
			entries.set(key, value);
			if (entries.size > maximumSize) {
				entries.delete(entries.keys().next().value!);
			}
		},
		get: (key) => entries.get(key),
	};
};
