import {createDerived} from './derived.ts';
import {keyedWeight} from './hash.ts';

/**
The place of this node in rendezvous order for a key, such as a backend server (highest random weight: Thaler and Ravishankar,
1998). All nodes derive the same order from the key, without a message.
*/
export type NodeOrder = {
	/**
	Nodes with a higher weight for the key.
	*/
	rank(key: string): number;
};

// Keys whose ranks are cached; beyond that the cache is emptied.
const maximumRanks = 5000;

/**
Builds the order. Ranks are cached until the nodes change.

@param self This node.
@param nodes Ids of the nodes, with or without this one; replaced when they change.
*/
export const createNodeOrder = (
	self: string,
	nodes: () => readonly string[],
): NodeOrder => {
	const ranks = createDerived(nodes, () => new Map<string, number>());

	return {
		rank(key) {
			const known = ranks().get(key);
			if (known !== undefined) {
				return known;
			}

			if (ranks().size >= maximumRanks) {
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
	const own = weightOf(self);
	return nodes.filter((id) => {
		const weight = weightOf(id);
		return weight === own ? id < self : weight > own;
	}).length;
};
