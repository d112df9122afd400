import type {RegistryPosition} from './registry-position.ts';

/**
A change of this node's copy of the registry.
*/
export type MirrorChange =
	| RegistryRestored
	| {readonly kind: 'routes'; readonly version: number}
	| {
			readonly kind: 'server';
			readonly id: string;
			readonly isUsable: boolean;
	  }
	| {
			readonly kind: 'evacuation';
			readonly availabilityZone: string;
			readonly isActive: boolean;
	  };

/**
The registry was restored from an older copy of itself.
*/
export type RegistryRestored = {
	readonly kind: 'restored';
	readonly from: RegistryPosition;
	readonly to: RegistryPosition;
	/**
	Version of the routes in force, and of the routes in the copy.
	*/
	readonly routesVersion: number;
	readonly copiedRoutesVersion: number;
	/**
	Number of entries that this node knew and the copy lacks.
	*/
	readonly lacking: number;
	/**
	Number of servers in the copy that are not used because their entries had been removed.
	*/
	readonly heldBack: number;
	/**
	Number of evacuations that the copy lacks and that stay in force.
	*/
	readonly evacuationsKept: number;
};
