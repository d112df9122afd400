import {createDerived} from './derived.ts';
import {keyedWeight} from './hash.ts';

/**
Rank of this node in the rendezvous hashing order (highest random weight; Thaler and Ravishankar, 1998) for a key such as
a backend server. All nodes compute the same order from the key without exchanging messages.
*/
export type NodeOrder = {
	/**
	Returns the number of nodes with a higher weight for the key.
	*/
	rank(key: string): number;
};

// Maximum number of cached ranks; the cache is cleared when it is full.
const maximumCachedRanks = 5000;

/**
Creates the order. Ranks are cached until the nodes change.

@param self Id of this node.
@param nodes Returns the ids of the nodes, with or without this one. It must return another array when they change.
*/
export const createNodeOrder = (
	self: string,
	nodes: () => readonly string[],
): NodeOrder => {
	const ranks = createDerived(nodes, () => new Map<string, number>());

	return {
		rank(key) {
			const cached = ranks().get(key);
			if (cached !== undefined) {
				return cached;
			}

			if (ranks().size >= maximumCachedRanks) {
				ranks().clear();
			}

			const rank = rankAmong(key, self, nodes());
			ranks().set(key, rank);
			return rank;
		},
	};
};

const rankAmong = (
	key: string,
	self: string,
	nodes: readonly string[],
): number => {
	const weightOf = keyedWeight(key);
	const ownWeight = weightOf(self);
	return nodes.filter((id) => {
		const weight = weightOf(id);
		return weight === ownWeight ? id < self : weight > ownWeight;
	}).length;
};
