import type {DisabledMechanisms} from '../../mechanisms/index.ts';
import type {Logger} from '../../logging/index.ts';
import {roleHolders} from '../../membership/index.ts';
import type {Mesh, PeerClient} from '../../mesh/index.ts';
import {
	createRegistryFollower,
	createRegistryRelay,
	type MirrorChange,
	type RegistryAnswer,
	type RegistryCursor,
	type RegistryMirror,
	type RegistrySource,
	type RegistryStamp,
	type RelayedAnswer,
} from '../../registry/index.ts';
import {
	rendezvousFirst,
	type Address,
	type Random,
} from '../../shared/index.ts';

/**
Keeps this node's copy of the registry up to date and relays it to other nodes.
*/
export type RegistrySharing = {
	start(): void;
	stop(): Promise<void>;
	tick(now: number): void;
	/**
	Processes the registry stamp of another node. If this node is behind, it asks that node.
	*/
	receiveStamp(stamp: RegistryStamp, from: Address): void;
	/**
	Milliseconds since the registry last confirmed the copy; infinite before the first time.
	*/
	ageMs(): number;
	/**
	Answers another node at once with the changes after a position.
	*/
	answer(after: RegistryCursor): RegistryAnswer;
	/**
	Answers another node with the changes after a position. The response is held until there are any.
	*/
	relayedAnswer(after: RegistryCursor): Promise<RelayedAnswer>;
};

/**
Options of `createRegistrySharing`.
*/
export type RegistrySharingOptions = {
	readonly without: DisabledMechanisms;
	readonly mirror: RegistryMirror;
	readonly source: RegistrySource;
	readonly mesh: Mesh;
	readonly peerClient: PeerClient;
	readonly localRegion: string;
	/**
	Whether enough time has passed since the start for this node to have learned of the others.
	*/
	readonly hasSettled: () => boolean;
	readonly random: Random;
	readonly clock: () => number;
	readonly logger: Logger;
	/**
	Called with changes once the mirror has applied them.
	*/
	readonly onChanges: (changes: readonly MirrorChange[]) => void;
};

// The holders of this role read the registry and relay it to the other nodes of their zone.
const role = 'registry';

// A second reader would double the calls without a benefit: a node whose relay fails reads the registry directly.
const readersPerZone = 1;

/**
Creates the sharing of one node; nothing is requested before `start`. One node of each zone reads the registry and
relays it to the other nodes of the zone.
*/
export const createRegistrySharing = (
	options: RegistrySharingOptions,
): RegistrySharing => {
	const {mirror, mesh, peerClient, random, clock} = options;

	const pickPeer = (): Address | undefined => {
		const localPeers = mesh.usableIn(options.localRegion);
		const peers =
			localPeers.length > 0 && random.below(2) === 0
				? localPeers
				: mesh.usable();
		return peers.length === 0
			? undefined
			: peers[random.below(peers.length)]!.peerAddress;
	};

	const selectRelay = (): Address | undefined => {
		if (options.without.has('registry-relay')) {
			return undefined;
		}

		const self = mesh.self();
		const holders = options.hasSettled()
			? roleHolders(role, self, mesh.usable(), readersPerZone)
			: [self];
		return holders.some(({id}) => id === self.id)
			? undefined
			: rendezvousFirst(self.id, holders, ({id}) => id)?.peerAddress;
	};

	const follower = createRegistryFollower({
		mirror,
		registry: options.source,
		askPeer: async (peer, after) => peerClient.registryAfter(peer, after),
		pickPeer,
		relay: selectRelay,
		askRelay: async (peer, after) => peerClient.relayedAfter(peer, after),
		// No startup pause before the first routes are known, because callers wait for them.
		hasJustStarted: () =>
			!options.hasSettled() && mirror.routes() !== undefined,
		clock,
		randomFraction: random.fraction,
		logger: options.logger,
		onRead() {
			relay.release();
		},
		onChanges: options.onChanges,
		announceChanges() {
			mesh.announce();
		},
	});
	const relay = createRegistryRelay({
		mirror,
		isReading: follower.isReading,
		confirmedAt: follower.confirmedAt,
		clock,
	});

	return {
		start: follower.start,
		stop: follower.stop,
		tick: follower.tick,
		receiveStamp: follower.receiveStamp,
		ageMs: () => clock() - (follower.confirmedAt() ?? -Infinity),
		answer: (after) =>
			mirror.revision() === 0
				? {kind: 'unavailable', reason: 'nothing known yet'}
				: mirror.answerFor(after, clock()),
		relayedAnswer: relay.answer,
	};
};
