import type {Member} from '../membership/index.ts';
import {createDerived} from '../shared/index.ts';

/**
The nodes that send to the same backend servers as this one.
*/
export type SenderNodes = {
	/**
	Those that may be sending now, but this node; replaced when they change.
	*/
	peers(): readonly Member[];
	/**
	Fraction of all of them that is reachable, this node included, from 0 to 1.
	*/
	reachableFraction(): number;
};

/**
What they are found from.
*/
export type SenderNodesOptions = {
	/**
	All other nodes ever heard of; replaced when they change.
	*/
	readonly others: () => readonly Member[];
	/**
	Whether a node can send to the servers that this one sends to.
	*/
	readonly sharesServers: (member: Member) => boolean;
	/**
	When anything was last heard from any node.
	*/
	readonly lastReceivedAt: () => number | undefined;
	readonly clock: () => number;
};

/**
How long the share of a dead node stays reserved, in milliseconds: it may be partitioned and still sending.
*/
export const deadNodeReservationMs = 30_000;

/**
Fraction assumed by a node that has never heard another one: several may have started behind the same partition.
*/
export const isolatedFraction = 0.25;

// Interval at which dead nodes are counted, in milliseconds: a count at each request would grow with the nodes.
const countEveryMs = 200;

/**
Builds the view of one node.
*/
export const createSenderNodes = ({
	others,
	sharesServers,
	lastReceivedAt,
	clock,
}: SenderNodesOptions): SenderNodes => {
	const near = createDerived(others, (members) =>
		members.filter((member) => sharesServers(member)),
	);
	const peers = createDerived(near, (members) =>
		members.filter(({status}) => status === 'alive' || status === 'suspect'),
	);
	let diedAt: ReadonlyMap<string, number> = new Map();
	const deaths = createDerived(near, (members) => {
		const now = clock();
		diedAt = new Map(
			members
				.filter(({status}) => status === 'dead')
				.map(({id}) => [id, diedAt.get(id) ?? now]),
		);
		return diedAt;
	});
	let counted = {at: -Infinity, dead: 0};

	const deadLately = (): number => {
		const now = clock();
		const times = deaths();
		if (now - counted.at >= countEveryMs) {
			const dead = times
				.values()
				.filter((at) => now - at < deadNodeReservationMs)
				.toArray().length;
			counted = {at: now, dead};
		}

		return counted.dead;
	};

	return {
		peers,
		reachableFraction() {
			if (lastReceivedAt() === undefined) {
				return isolatedFraction;
			}

			const heard = 1 + peers().length;
			return heard / (heard + deadLately());
		},
	};
};
