import type {RegistryPosition} from './registry-position.ts';

/**
What changed by taking in an answer of the registry.
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
The registry came back from an older copy of itself.
*/
export type RegistryRestored = {
	readonly kind: 'restored';
	readonly from: RegistryPosition;
	readonly to: RegistryPosition;
	/**
	Version of the routes in force, and of those in the copy.
	*/
	readonly routesVersion: number;
	readonly copiedRoutesVersion: number;
	/**
	Entries known before that the copy lacks.
	*/
	readonly lacking: number;
	/**
	Servers of the copy that are not used because their entries had been removed.
	*/
	readonly heldBack: number;
	/**
	Evacuations that the copy lacks and that go on.
	*/
	readonly evacuationsKept: number;
};
