import type {MirrorChange} from './mirror-change.ts';

/**
An evacuation that the registry lost when it came back from an older copy.
*/
export type RetainedEvacuation = {
	readonly key: string;
	readonly availabilityZone: string;
	/**
	How much longer it holds without being written again, in milliseconds.
	*/
	readonly remainingMs: number;
};

/**
The zones whose backend servers must not be sent anything.
*/
export type RegistryEvacuations = {
	register(availabilityZone: string): readonly MirrorChange[];
	remove(availabilityZone: string): readonly MirrorChange[];
	/**
	Goes on with an evacuation that the registry does not name any more, for a time.
	*/
	retain(evacuation: RetainedEvacuation, now: number): readonly MirrorChange[];
	/**
	The key of a kept evacuation was removed.
	*/
	removeRetained(key: string): readonly MirrorChange[];
	retained(now: number): readonly RetainedEvacuation[];
	hasRetained(): boolean;
	/**
	Ends what was kept for its time.
	*/
	expire(now: number): readonly MirrorChange[];
	isActive(availabilityZone: string): boolean;
	zones(): readonly string[];
};

/**
How long an evacuation holds that the registry lost, unless it is written again, in milliseconds. The operator writes
again within seconds; requests to an evacuated zone do more harm than its idle servers.
*/
export const evacuationRetentionMs = 30_000;

/**
Builds a view without evacuations.
*/
export const createRegistryEvacuations = (): RegistryEvacuations => {
	const active = new Set<string>();
	const keptUntil = new Map<
		string,
		{readonly key: string; readonly until: number}
	>();

	const remove = (availabilityZone: string): readonly MirrorChange[] => {
		keptUntil.delete(availabilityZone);
		active.delete(availabilityZone);
		return [{kind: 'evacuation', availabilityZone, isActive: false}];
	};

	return {
		register(availabilityZone) {
			keptUntil.delete(availabilityZone);
			active.add(availabilityZone);
			return [{kind: 'evacuation', availabilityZone, isActive: true}];
		},
		remove,
		retain({key, availabilityZone, remainingMs}, now) {
			keptUntil.set(availabilityZone, {key, until: now + remainingMs});
			if (active.has(availabilityZone)) {
				return [];
			}

			active.add(availabilityZone);
			return [{kind: 'evacuation', availabilityZone, isActive: true}];
		},
		removeRetained: (removedKey) =>
			[...keptUntil]
				.filter(([, {key}]) => key === removedKey)
				.flatMap(([availabilityZone]) => remove(availabilityZone)),
		retained: (now) =>
			keptUntil
				.entries()
				.map(([availabilityZone, {key, until}]) => ({
					key,
					availabilityZone,
					remainingMs: Math.max(0, until - now),
				}))
				.toArray(),
		hasRetained: () => keptUntil.size > 0,
		expire: (now) =>
			[...keptUntil]
				.filter(([, {until}]) => until <= now)
				.flatMap(([availabilityZone]) => remove(availabilityZone)),
		isActive: (availabilityZone) => active.has(availabilityZone),
		zones: () => [...active],
	};
};
