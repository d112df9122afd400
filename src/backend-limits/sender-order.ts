import type {Member} from '../membership/index.ts';
import {createDerived, keyedWeight} from '../shared/index.ts';

type Sender = Pick<Member, 'id'>;

/**
The place of this node in the order in which nodes come to send to a server. All nodes derive the same order from the
server's name, without a message.
*/
export type SenderOrder = {
	/**
	Nodes that go before this one.
	*/
	rank(key: string): number;
};

/**
Builds the order; a place is worked out once for a server, and anew only when the nodes change.

@param self This node.
@param peers The other nodes; replaced when they change.
*/
export const createSenderOrder = (
	self: string,
	peers: () => readonly Sender[],
): SenderOrder => {
	const ranks = createDerived(peers, () => new Map<string, number>());

	return {
		rank(key) {
			const known = ranks().get(key);
			if (known !== undefined) {
				return known;
			}

			const rank = rankAmong(key, self, peers());
			ranks().set(key, rank);
			return rank;
		},
	};
};

const rankAmong = (
	key: string,
	self: string,
	peers: readonly Sender[],
): number => {
	const weightOf = keyedWeight(key);
	const own = weightOf(self);
	return peers.filter(({id}) => {
		const weight = weightOf(id);
		return weight === own ? id < self : weight > own;
	}).length;
};
