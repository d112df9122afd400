import {viewFingerprint} from '../../membership/index.ts';
import type {Mesh, PeerClient} from '../../mesh/index.ts';
import type {Address, Random} from '../../shared/index.ts';

/**
Finds other nodes by asking seeds for the members that they know.
*/
export type NodeJoiner = {
	/**
	Asks once the interval is over; called at each tick.
	*/
	tick(now: number): void;
	askNow(): void;
	/**
	The seeds have changed: asks at the next tick.
	*/
	reload(): void;
};

/**
What a joiner is built from.
*/
export type NodeJoinerOptions = {
	readonly mesh: Mesh;
	readonly peerClient: PeerClient;
	/**
	Contact addresses of other nodes; may change.
	*/
	readonly seeds: () => readonly Address[];
	/**
	Addresses of this node, which is not asked.
	*/
	readonly ownAddresses: readonly Address[];
	readonly random: Random;
};

/**
How often a node without others asks its seeds, in milliseconds.
*/
export const joinIntervalMs = 500;

/**
How often a node that knows others asks a seed at the most, in milliseconds, so that groups that started
apart find each other.
*/
export const rejoinIntervalMs = 4000;

/**
What each known node adds to that interval, in milliseconds: all nodes together ask ten times a second,
however many they are. An answer names all nodes, and among many some are always seen differently, so that what goes
between regions would grow with the square of their number.
*/
export const rejoinPerNodeMs = 100;

/**
Builds the joiner of one node.
*/
export const createNodeJoiner = ({
	mesh,
	peerClient,
	seeds,
	ownAddresses,
	random,
}: NodeJoinerOptions): NodeJoiner => {
	let nextAt = 0;
	const isAlone = () => mesh.lastReceivedAt() === undefined;

	const rejoinAfterMs = () =>
		Math.max(rejoinIntervalMs, mesh.others().length * rejoinPerNodeMs);

	const seedsToAsk = (): readonly Address[] => {
		const others = seeds().filter((seed) => !ownAddresses.includes(seed));
		return isAlone()
			? others
			: others.slice(random.below(Math.max(1, others.length))).slice(0, 1);
	};

	const ask = async () => {
		const knownView = viewFingerprint([mesh.self(), ...mesh.others()]);
		await Promise.all(
			seedsToAsk().map(async (seed) => {
				const members = await peerClient.members(seed, knownView);
				if (members) {
					mesh.mergeMembers(members);
				}
			}),
		);
	};

	return {
		tick(now) {
			if (now < nextAt) {
				return;
			}

			nextAt = now + (isAlone() ? joinIntervalMs : rejoinAfterMs());
			void ask();
		},
		askNow() {
			void ask();
		},
		reload() {
			nextAt = 0;
		},
	};
};
