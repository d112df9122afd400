import type {RouteDocument} from '../routes/index.ts';
import type {Address} from '../shared/index.ts';

/**
A backend server as it registers itself in the registry.
*/
export type RegisteredServer = {
	/**
	A restarted server may keep its id; `startedAt` distinguishes its incarnations.
	*/
	readonly id: string;
	/**
	When the server started, in milliseconds since the epoch by its own clock; absent if the server does not report it.
	*/
	readonly startedAt?: number;
	/**
	Increases with each write of this incarnation; absent if the server does not number its writes.
	*/
	readonly sequence?: number;
	readonly service: string;
	/**
	Version of the server's software, not of the weights that it loaded; absent if the server does not state it. Versions have
	no order.
	*/
	readonly softwareVersion?: string;
	readonly address: Address;
	readonly availabilityZone: string;
	readonly slots: number;
	readonly isLeaving: boolean;
	/**
	How much longer the server is cold, in milliseconds from when the entry was read.
	*/
	readonly coldMs: number;
};

/**
The value stored under one key of the registry.
*/
export type RegistryValue =
	| {readonly kind: 'server'; readonly server: RegisteredServer}
	| {readonly kind: 'routes'; readonly document: RouteDocument}
	/**
	No request may be sent to the backend servers of the zone.
	*/
	| {readonly kind: 'evacuation'; readonly availabilityZone: string}
	/**
	The value could not be decoded. A server under this key must not be used; routes under it stay unchanged.
	*/
	| {readonly kind: 'unreadable'};

/**
One key at one revision. An item without a value records the removal of the key.
*/
export type RegistryItem = {
	readonly key: string;
	readonly revision: number;
	readonly value: RegistryValue | undefined;
	/**
	For a removal: the registry was unavailable shortly before, so the entry may only have lapsed.
	Set by the node that read the removal, because other nodes cannot know.
	*/
	readonly canBeLapse?: boolean;
	/**
	For state that the registry lost, or brought back, when it was restored from an older copy: how much longer the
	sending node retains an evacuation, or holds a server back, in milliseconds.
	*/
	readonly provisionalMs?: number;
};

/**
The whole registry at one revision.
*/
export type RegistrySnapshot = {
	/**
	How often the registry has been restored from an older copy of itself, as the registry states it. Revisions
	increase only within one era.
	*/
	readonly era?: number;
	readonly revision: number;
	readonly items: readonly RegistryItem[];
};

/**
An answer of the registry to a request for changes or for a snapshot.
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
	The changes after the requested revision are no longer available; a snapshot is needed.
	*/
	| {readonly kind: 'history-lost'}
	| {readonly kind: 'unavailable'; readonly reason: string};

/**
An answer that carries registry data.
*/
export type RegistryUpdate = Extract<
	RegistryAnswer,
	{kind: 'changes' | 'snapshot'}
>;

/**
A source from which the registry is read: the external store or another node.
*/
export type RegistrySource = {
	/**
	Reads all items, or returns the reason why they are unavailable.
	*/
	snapshot(): Promise<RegistryAnswer>;
	/**
	Reads the changes after a revision. The request is held for up to `waitMs` milliseconds while there are none.
	*/
	changes(after: number, waitMs: number): Promise<RegistryAnswer>;
	close(): Promise<void>;
};
