import type {RouteDocument} from '../routes/index.ts';
import type {Address} from '../shared/index.ts';

/**
A backend server as it registers itself.
*/
export type RegisteredServer = {
	/**
	A server that starts again may keep it; `startedAt` tells its lives apart.
	*/
	readonly id: string;
	/**
	When it started, in milliseconds since the epoch by its own clock, where it says so.
	*/
	readonly startedAt?: number;
	/**
	Rises with each write of this life, where the server numbers them.
	*/
	readonly sequence?: number;
	readonly service: string;
	readonly address: Address;
	readonly availabilityZone: string;
	readonly slots: number;
	readonly isLeaving: boolean;
	/**
	How much longer it is cold, in milliseconds from when the entry was read.
	*/
	readonly coldMs: number;
};

/**
What one key of the registry holds.
*/
export type RegistryValue =
	| {readonly kind: 'server'; readonly server: RegisteredServer}
	| {readonly kind: 'routes'; readonly document: RouteDocument}
	/**
	No request may go to the backend servers of the zone.
	*/
	| {readonly kind: 'evacuation'; readonly availabilityZone: string}
	/**
	Whoever wrote the key left nothing there that can be read. A server of that key is not to be used; routes stay
	as they were.
	*/
	| {readonly kind: 'unreadable'};

/**
One key at one revision; without a value it was removed.
*/
export type RegistryItem = {
	readonly key: string;
	readonly revision: number;
	readonly value: RegistryValue | undefined;
	/**
	Of a removal: the registry had been away shortly before, so the entry may only have lapsed.
	Told by the node that read the removal, for others cannot know.
	*/
	readonly canBeLapse?: boolean;
	/**
	Of what the registry lost or brought back when it came back from an older copy: how much longer the telling node keeps
	an evacuation, or holds a server back, in milliseconds.
	*/
	readonly provisionalMs?: number;
};

/**
The whole registry at a revision.
*/
export type RegistrySnapshot = {
	/**
	Counts how often the registry has come back from an older copy of itself, as the registry states it; revisions rise
	within one era only.
	*/
	readonly era?: number;
	readonly revision: number;
	readonly items: readonly RegistryItem[];
};

/**
What a registry answers to the question for changes.
*/
export type RegistryAnswer =
	| {
			readonly kind: 'changes';
			readonly era?: number;
			readonly revision: number;
			readonly items: readonly RegistryItem[];
	  }
	| ({readonly kind: 'snapshot'} & RegistrySnapshot)
	/**
	The history before the revision is gone; a snapshot is needed.
	*/
	| {readonly kind: 'history-lost'}
	| {readonly kind: 'unavailable'; readonly reason: string};

/**
An answer that says something of the registry.
*/
export type RegistryUpdate = Extract<
	RegistryAnswer,
	{kind: 'changes' | 'snapshot'}
>;

/**
Where the registry is read: the outside store, or another node.
*/
export type RegistrySource = {
	/**
	Everything, or why it cannot be had.
	*/
	snapshot(): Promise<RegistryAnswer>;
	/**
	What came after a revision; held up to `waitMs` milliseconds while there is nothing.
	*/
	changes(after: number, waitMs: number): Promise<RegistryAnswer>;
	close(): Promise<void>;
};
