import {viewFingerprint} from '../../membership/index.ts';
import type {Mesh, PeerClient} from '../../mesh/index.ts';
import type {Address, Random} from '../../shared/index.ts';

/**
Discovers other nodes by asking seed nodes for the members that they know.
*/
export type NodeJoiner = {
	/**
	Asks seeds once the interval has passed; called at each tick.
	*/
	tick(now: number): void;
	askNow(): void;
	/**
	Makes the next tick ask, because the seeds have changed.
	*/
	reload(): void;
};

/**
Options of `createNodeJoiner`.
*/
export type NodeJoinerOptions = {
	readonly mesh: Mesh;
	readonly peerClient: PeerClient;
	/**
	Contact addresses of other nodes; may change.
	*/
	readonly seeds: () => readonly Address[];
	/**
	Addresses of this node, which are skipped among the seeds.
	*/
	readonly ownAddresses: readonly Address[];
	readonly random: Random;
};

/**
Interval at which a node that knows no other node asks its seeds, in milliseconds.
*/
export const joinIntervalMs = 500;

/**
Minimum interval at which a node that knows others asks a seed, in milliseconds, so that groups of nodes that
started separately discover each other.
*/
export const rejoinIntervalMs = 4000;

/**
Rejoin interval for each known node, in milliseconds: all nodes together ask at most ten times a second, independently of
their number. A response contains all nodes, and with many nodes the views of two of them nearly always differ, so
that the traffic between regions would otherwise grow with the square of their number.
*/
export const rejoinPerNodeMs = 100;

/**
Creates the joiner of one node.
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

	const currentRejoinIntervalMs = () =>
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

			nextAt = now + (isAlone() ? joinIntervalMs : currentRejoinIntervalMs());
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
