/**
A point in the history of the registry.
*/
export type RegistryPosition = {
	/**
	How often the registry has come back from an older copy of itself; 0 while nothing is known of it.
	*/
	readonly era: number;
	/**
	Rises with each change within one era.
	*/
	readonly revision: number;
};

/**
From where another node wants to hear of changes. Nodes of versions without eras state none.
*/
export type RegistryCursor = {
	readonly era: number | undefined;
	readonly revision: number;
};

/**
The position of a node that knows nothing.
*/
export const startPosition: RegistryPosition = {era: 0, revision: 0};

/**
Whether one position comes before another.
*/
export const isBefore = (
	left: RegistryPosition,
	right: RegistryPosition,
): boolean =>
	left.era === right.era
		? left.revision < right.revision
		: left.era < right.era;
