import type {Member} from '../membership/index.ts';
import {createDerived} from '../shared/index.ts';

/**
The nodes that send to the same backend servers as this one.
*/
export type SenderNodes = {
	/**
	The other nodes that may currently be sending; replaced by another array when they change.
	*/
	peers(): readonly Member[];
	/**
	Fraction of all such nodes that is reachable, including this one, from 0 to 1.
	*/
	reachableFraction(): number;
};

/**
Options of `createSenderNodes`.
*/
export type SenderNodesOptions = {
	/**
	All other nodes ever known; replaced by another array when they change.
	*/
	readonly others: () => readonly Member[];
	/**
	Whether a node can send to the same servers as this one.
	*/
	readonly sharesServers: (member: Member) => boolean;
	/**
	Time at which a message from any other node was last received.
	*/
	readonly lastReceivedAt: () => number | undefined;
	readonly clock: () => number;
};

/**
Time for which the share of a dead node stays reserved, in milliseconds: the node may be partitioned and still sending.
*/
export const deadNodeReservationMs = 30_000;

/**
Fraction assumed by a node that has never received a message: several nodes may have started in the same partition.
*/
export const isolatedFraction = 0.25;

// Interval at which dead nodes are counted, in milliseconds. A count for each request would cost time in proportion to the nodes.
const countIntervalMs = 200;

/**
Creates the view of one node.
*/
export const createSenderNodes = ({
	others,
	sharesServers,
	lastReceivedAt,
	clock,
}: SenderNodesOptions): SenderNodes => {
	const sharing = createDerived(others, (members) =>
		members.filter((member) => sharesServers(member)),
	);
	const peers = createDerived(sharing, (members) =>
		members.filter(({status}) => status === 'alive' || status === 'suspect'),
	);
	let diedAt: ReadonlyMap<string, number> = new Map();
	const deathTimes = createDerived(sharing, (members) => {
		const now = clock();
		diedAt = new Map(
			members
				.filter(({status}) => status === 'dead')
				.map(({id}) => [id, diedAt.get(id) ?? now]),
		);
		return diedAt;
	});
	let counted = {at: -Infinity, dead: 0};

	const recentlyDead = (): number => {
		const now = clock();
		const times = deathTimes();
		if (now - counted.at >= countIntervalMs) {
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

			const reachable = 1 + peers().length;
			return reachable / (reachable + recentlyDead());
		},
	};
};
