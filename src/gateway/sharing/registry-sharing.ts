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
Keeps this node's copy of the registry up to date, and its part in passing it on to other nodes.
*/
export type RegistrySharing = {
	start(): void;
	stop(): Promise<void>;
	tick(now: number): void;
	/**
	Says what another node has of the registry; a node that is behind asks it.
	*/
	receiveStamp(stamp: RegistryStamp, from: Address): void;
	/**
	Milliseconds since the registry last confirmed the copy; infinite before it did.
	*/
	ageMs(): number;
	/**
	Answers another node with what came after a position, at once.
	*/
	answer(after: RegistryCursor): RegistryAnswer;
	/**
	Answers another node with what came after a position; held while there is nothing.
	*/
	relayedAnswer(after: RegistryCursor): Promise<RelayedAnswer>;
};

/**
What sharing is built from.
*/
export type RegistrySharingOptions = {
	readonly without: DisabledMechanisms;
	readonly mirror: RegistryMirror;
	readonly source: RegistrySource;
	readonly mesh: Mesh;
	readonly peerClient: PeerClient;
	readonly localRegion: string;
	/**
	Whether this node had time to hear of the others.
	*/
	readonly hasSettled: () => boolean;
	readonly random: Random;
	readonly clock: () => number;
	readonly logger: Logger;
	/**
	Told what has changed once the mirror has it.
	*/
	readonly onChanges: (changes: readonly MirrorChange[]) => void;
};

// Its holders read the registry and relay it to the others of their zone.
const duty = 'registry';

// A second reader would double the calls and save nothing: a node whose relay fails reads the registry directly.
const readersPerZone = 1;

/**
Builds the sharing of one node; nothing is asked before `start`. One node a zone reads the registry,
and the others of the zone follow it by way of that one.
*/
export const createRegistrySharing = (
	options: RegistrySharingOptions,
): RegistrySharing => {
	const {mirror, mesh, peerClient, random, clock} = options;

	const pickPeer = (): Address | undefined => {
		const near = mesh.usableIn(options.localRegion);
		const peers =
			near.length > 0 && random.below(2) === 0 ? near : mesh.usable();
		return peers.length === 0
			? undefined
			: peers[random.below(peers.length)]!.peerAddress;
	};

	const relayToAsk = (): Address | undefined => {
		if (options.without.has('registry-relay')) {
			return undefined;
		}

		const self = mesh.self();
		const holders = options.hasSettled()
			? roleHolders(duty, self, mesh.usable(), readersPerZone)
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
		relay: relayToAsk,
		askRelay: async (peer, after) => peerClient.relayedAfter(peer, after),
		// Callers wait for the first routes.
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
