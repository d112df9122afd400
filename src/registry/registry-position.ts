/**
A point in the history of the registry.
*/
export type RegistryPosition = {
	/**
	How often the registry has been restored from an older copy of itself; 0 while that is unknown.
	*/
	readonly era: number;
	/**
	Increases with each change within one era.
	*/
	readonly revision: number;
};

/**
The position after which another node requests changes. Nodes running a version without eras state no era.
*/
export type RegistryCursor = {
	readonly era: number | undefined;
	readonly revision: number;
};

/**
The position of a node that has read nothing.
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
