/**
A map that forgets its earliest entry when it grows beyond its bound.
*/
export type BoundedMap<Key, Value> = {
	/**
	Sets a value; an entry that is set again counts as the latest.
	*/
	set(key: Key, value: Value): void;
	get(key: Key): Value | undefined;
};

/**
Builds an empty map.
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
