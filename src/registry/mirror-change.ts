/**
What changed by taking in an answer of the registry.
*/
export type MirrorChange =
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
