import type {Member} from '../../membership/index.ts';
import {stableHash} from '../../shared/index.ts';

// A caller needs a second node when the first one fails.
const minimumNodes = 2;

/**
Selects the nodes that one caller is told of, so that all callers together use each node in proportion to its capacity. It
answers nodes of different sizes whose callers pick at random among the nodes that they are told of.

The nodes are selected by systematic sampling: they lie side by side on a line, each as long as its capacity, and evenly spaced
points from a start that depends on the caller select those they fall on. A caller thus keeps its nodes, and its connections,
while the nodes and their capacities stay the same.

@param members Nodes that the caller may use.
@param capacityOf Relative capacity of a node; undefined if it is unknown, which counts as the mean.
@param caller Identifies the caller, for example by its IP address.
*/
export const selectByCapacity = (
	members: readonly Member[],
	capacityOf: (member: Member) => number | undefined,
	caller: string,
): readonly Member[] => {
	const known = members
		.map((member) => capacityOf(member))
		.filter((capacity) => capacity !== undefined);
	if (known.length === 0) {
		return members;
	}

	const mean = sumOf(known) / known.length;
	const stated = members
		.map((member) => ({member, capacity: capacityOf(member) ?? mean}))
		.toSorted((left, right) => left.member.id.localeCompare(right.member.id));
	const sum = sumOf(stated.map(({capacity}) => capacity));
	// No node is named more than once, so with two nodes per caller none gets more than half of the requests.
	const sized = stated.map(({member, capacity}) => ({
		member,
		capacity: Math.min(capacity, sum - capacity),
	}));
	const total = sumOf(sized.map(({capacity}) => capacity));
	const largest = Math.max(...sized.map(({capacity}) => capacity));
	// With more points than this, the largest node would be due twice.
	const count = Math.max(
		minimumNodes,
		Math.floor(total / largest + roundingMargin),
	);
	if (!(total > 0) || count >= members.length) {
		return members;
	}

	const step = total / count;
	let point = ((stableHash(caller) + 0.5) / hashRange) * step;
	let end = 0;
	const selected: Member[] = [];
	for (const {member, capacity} of sized) {
		end += capacity;
		if (point < end) {
			selected.push(member);
		}

		while (point < end) {
			point += step;
		}
	}

	return selected;
};

// Equal capacities must not appear to differ by an error of rounding.
const roundingMargin = 1e-6;

const hashRange = 2 ** 32;

const sumOf = (values: readonly number[]): number =>
	values.reduce((sum, value) => sum + value, 0);
