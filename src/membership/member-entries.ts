import type {Member} from './member.ts';

/**
The latest update about each other member, and how often each update was sent on.
*/
export type MemberEntries = {
	find(id: string): Member | undefined;
	/**
	Stores an update that takes precedence over the known one.
	*/
	put(member: Member, now: number): void;
	forget(id: string): void;
	/**
	All members: a new list after each change, the same list otherwise.
	*/
	all(): readonly Member[];
	/**
	Members that have had a status since the given time or earlier.
	*/
	since(status: Member['status'], at: number): readonly Member[];
	/**
	The updates to send on now, the least transmitted ones first. Increments the transmission count of each.
	*/
	takeUpdates(count: number): readonly Member[];
};

type Entry = {
	readonly member: Member;
	readonly changedAt: number;
	/**
	How often this update was sent on.
	*/
	transmissions: number;
};

/**
Creates an empty set of entries.
*/
export const createMemberEntries = (): MemberEntries => {
	const entries = new Map<string, Entry>();
	// Every node selection and every tick reads the members, and with hundreds of members a new list each time is expensive.
	let list: readonly Member[] | undefined;

	// After this many transmissions, all members have received an update with high probability.
	const maximumTransmissions = () => 3 * Math.ceil(Math.log2(entries.size + 2));

	return {
		find: (id) => entries.get(id)?.member,
		put(member, now) {
			entries.set(member.id, {member, changedAt: now, transmissions: 0});
			list = undefined;
		},
		forget(id) {
			entries.delete(id);
			list = undefined;
		},
		all() {
			list ??= entries
				.values()
				.map(({member}) => member)
				.toArray();
			return list;
		},
		since: (status, at) =>
			entries
				.values()
				.filter(
					({member, changedAt}) => member.status === status && changedAt <= at,
				)
				.map(({member}) => member)
				.toArray(),
		takeUpdates(count) {
			const most = maximumTransmissions();
			const pending = entries
				.values()
				.filter(({transmissions}) => transmissions < most)
				.toArray()
				.toSorted((left, right) => left.transmissions - right.transmissions)
				.slice(0, count);
			for (const entry of pending) {
				entry.transmissions += 1;
			}

			return pending.map(({member}) => member);
		},
	};
};
