import type {Member} from './member.ts';

/**
The other members by the latest statement about each, and how far each statement was passed on.
*/
export type MemberEntries = {
	find(id: string): Member | undefined;
	/**
	Enters a statement that goes before the one known.
	*/
	put(member: Member, now: number): void;
	forget(id: string): void;
	/**
	All members; another list after each change, the same one as long as there is none.
	*/
	all(): readonly Member[];
	/**
	Members with a status since some time.
	*/
	since(status: Member['status'], at: number): readonly Member[];
	/**
	Statements to pass on now, those first that were passed on least; each counts as passed on once more.
	*/
	takeUpdates(count: number): readonly Member[];
};

type Entry = {
	readonly member: Member;
	readonly changedAt: number;
	/**
	How often this statement was passed on.
	*/
	transmissions: number;
};

/**
Builds entries of nobody.
*/
export const createMemberEntries = (): MemberEntries => {
	const entries = new Map<string, Entry>();
	// Each choice of a node and each tick asks for the members; among hundreds a new list each time is dear.
	let list: readonly Member[] | undefined;

	// After so many rounds everybody has heard of a statement with great likelihood.
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
			const fresh = entries
				.values()
				.filter(({transmissions}) => transmissions < most)
				.toArray()
				.toSorted((left, right) => left.transmissions - right.transmissions)
				.slice(0, count);
			for (const entry of fresh) {
				entry.transmissions += 1;
			}

			return fresh.map(({member}) => member);
		},
	};
};
