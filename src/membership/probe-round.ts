import type {Random} from '../shared/index.ts';
import type {Member} from './member.ts';

/**
Iterates over a group of members in shuffled rounds.
*/
export type ProbeRound = {
	/**
	The next member of the group, or undefined if the group is empty.
	*/
	next(): Member | undefined;
};

/**
 Creates a round over a group that may change at any time.
 
 A round bounds the time until each member is probed; an independent random choice each time would not.
 */
export const createProbeRound = (
	group: () => readonly Member[],
	random: Random,
): ProbeRound => {
	let order: string[] = [];

	const takeNext = (): Member | undefined => {
		const members = new Map(group().map((member) => [member.id, member]));
		while (order.length > 0) {
			const member = members.get(order.pop()!);
			if (member) {
				return member;
			}
		}

		return undefined;
	};

	return {
		next() {
			const member = takeNext();
			if (member) {
				return member;
			}

			order = shuffle(
				group().map(({id}) => id),
				random,
			);
			return takeNext();
		},
	};
};

const shuffle = (ids: string[], random: Random): string[] => {
	for (let index = ids.length - 1; index > 0; index -= 1) {
		const other = random.below(index + 1);
		const moved = ids[index]!;
		ids[index] = ids[other]!;
		ids[other] = moved;
	}

	return ids;
};
