import type {MirrorChange} from './mirror-change.ts';

/**
An evacuation that the registry lost when it was restored from an older copy, and that this node retains.
*/
export type RetainedEvacuation = {
	readonly key: string;
	readonly availabilityZone: string;
	/**
	How much longer the evacuation stays in force without being written again, in milliseconds.
	*/
	readonly remainingMs: number;
};

/**
The zones whose backend servers must not be sent any requests.
*/
export type RegistryEvacuations = {
	register(availabilityZone: string): readonly MirrorChange[];
	remove(availabilityZone: string): readonly MirrorChange[];
	/**
	Retains an evacuation that the registry no longer holds, for a limited time.
	*/
	retain(evacuation: RetainedEvacuation, now: number): readonly MirrorChange[];
	/**
	Ends the retained evacuation whose key was removed.
	*/
	removeRetained(key: string): readonly MirrorChange[];
	retained(now: number): readonly RetainedEvacuation[];
	hasRetained(): boolean;
	/**
	Ends the retained evacuations whose time is over.
	*/
	expire(now: number): readonly MirrorChange[];
	isActive(availabilityZone: string): boolean;
	zones(): readonly string[];
};

/**
How long an evacuation that the registry lost stays in force unless it is written again, in milliseconds. The operator
writes it again within seconds, and requests to an evacuated zone do more harm than its idle servers.
*/
export const evacuationRetentionMs = 30_000;

/**
Creates a view without evacuations.
*/
export const createRegistryEvacuations = (): RegistryEvacuations => {
	const active = new Set<string>();
	const retainedUntil = new Map<
		string,
		{readonly key: string; readonly until: number}
	>();

	const remove = (availabilityZone: string): readonly MirrorChange[] => {
		retainedUntil.delete(availabilityZone);
		active.delete(availabilityZone);
		return [{kind: 'evacuation', availabilityZone, isActive: false}];
	};

	return {
		register(availabilityZone) {
			retainedUntil.delete(availabilityZone);
			active.add(availabilityZone);
			return [{kind: 'evacuation', availabilityZone, isActive: true}];
		},
		remove,
		retain({key, availabilityZone, remainingMs}, now) {
			retainedUntil.set(availabilityZone, {key, until: now + remainingMs});
			if (active.has(availabilityZone)) {
				return [];
			}

			active.add(availabilityZone);
			return [{kind: 'evacuation', availabilityZone, isActive: true}];
		},
		removeRetained: (removedKey) =>
			[...retainedUntil]
				.filter(([, {key}]) => key === removedKey)
				.flatMap(([availabilityZone]) => remove(availabilityZone)),
		retained: (now) =>
			retainedUntil
				.entries()
				.map(([availabilityZone, {key, until}]) => ({
					key,
					availabilityZone,
					remainingMs: Math.max(0, until - now),
				}))
				.toArray(),
		hasRetained: () => retainedUntil.size > 0,
		expire: (now) =>
			[...retainedUntil]
				.filter(([, {until}]) => until <= now)
				.flatMap(([availabilityZone]) => remove(availabilityZone)),
		isActive: (availabilityZone) => active.has(availabilityZone),
		zones: () => [...active],
	};
};
