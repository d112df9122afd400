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
	The part of all of them that can be heard, this node included, from 0 to 1.
	*/
	heardPart(): number;
};

/**
What they are found from.
*/
export type SenderNodesOptions = {
	/**
	All nodes ever heard of but this one; replaced when they change.
	*/
	readonly others: () => readonly Member[];
	/**
	Whether a node can send to the servers that this one sends to.
	*/
	readonly isNear: (member: Member) => boolean;
	/**
	When anything was last heard from any node.
	*/
	readonly lastHeard: () => number | undefined;
	readonly clock: () => number;
};

/**
A dead node may be cut off and go on sending. For so long its part of what all may send is left to it, in milliseconds: most
cuts are over by then, and what is gone for good is not waited for.
*/
export const deadCountsMs = 30_000;

/**
The part that a node takes itself for that has never heard another one: it may have started behind a cut, and others like it.
*/
export const unheardPart = 0.25;

// Deaths are counted anew so often, in milliseconds, and not at each request.
const countEveryMs = 200;

/**
Builds the view of one node.
*/
export const createSenderNodes = ({
	others,
	isNear,
	lastHeard,
	clock,
}: SenderNodesOptions): SenderNodes => {
	const near = createDerived(others, (members) =>
		members.filter((member) => isNear(member)),
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
				.filter((at) => now - at < deadCountsMs)
				.toArray().length;
			counted = {at: now, dead};
		}

		return counted.dead;
	};

	return {
		peers,
		heardPart() {
			if (lastHeard() === undefined) {
				return unheardPart;
			}

			const heard = 1 + peers().length;
			return heard / (heard + deadLately());
		},
	};
};
