import {randomBytes} from 'node:crypto';
import {
	createDigestTable,
	type DigestTable,
	type ZoneServiceSummary,
} from '../digests/index.ts';
import type {Logger} from '../logging/index.ts';
import {
	createMembership,
	type Member,
	type MembershipParameters,
} from '../membership/index.ts';
import {createMembershipController} from '../node/membership-controller.ts';
// Not by way of the folder's index: that loads the listener for typed calls, which takes a third of
// the memory of an idle node and is not used here.
import {createHeartbeatCodec} from '../peers/heartbeat-codec.ts';
import {createSealer} from '../peers/seal.ts';
import {
	createPeerMessageCodec,
	type PeerMessage,
} from '../peers/peer-message-codec.ts';
import {createPeerMessageSender} from '../peers/peer-message-sender.ts';
import {
	decodeRegistryStamp,
	encodeRegistryStamp,
	type RegistryStamp,
} from '../registry/registry-stamp.ts';
import {
	createDerived,
	createRandom,
	rendezvousFirst,
	type Address,
} from '../shared/index.ts';

/**
What a mesh is built from.
*/
export type MeshOptions = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly peerAddress: Address;
	readonly callerAddress: Address;
	readonly regionOf: (availabilityZone: string) => string;
	/**
	What this node has of the registry; travels with every heartbeat.
	*/
	readonly registryStamp: () => RegistryStamp;
	readonly onRegistryStamp: (stamp: RegistryStamp, from: Address) => void;
	/**
	Told what another node tells beside heartbeats.
	*/
	readonly onMessage: (message: PeerMessage) => void;
	readonly clock: () => number;
	/**
	Milliseconds since the epoch; may jump.
	*/
	readonly wallClock: () => number;
	readonly logger: Logger;
};

/**
A node's view of the other nodes, kept by heartbeats.
*/
export type Mesh = {
	start(): Promise<void>;
	stop(): Promise<void>;
	tick(now: number): void;
	/**
	Takes in what another node knows.
	*/
	mergeMembers(members: readonly Member[]): void;
	/**
	Tells some nodes at once, because there is news.
	*/
	announce(): void;
	leave(): void;
	self(): Member;
	/**
	All nodes ever heard of but this one.
	*/
	others(): readonly Member[];
	/**
	Other nodes of a region that can be given work.
	*/
	usableIn(region: string): readonly Member[];
	usable(): readonly Member[];
	/**
	Whether a node has begun to leave so lately that it still takes callers.
	*/
	isRecentlyLeaving(member: Member): boolean;
	/**
	States the load of a zone's services, if this node is the one of its zone to do so.
	*/
	publishLoad(
		services: Readonly<Record<string, ZoneServiceSummary>>,
		now: number,
	): void;
	/**
	The latest load of a service in a zone.
	*/
	loadIn(
		availabilityZone: string,
		service: string,
		now: number,
	): ZoneServiceSummary | undefined;
	/**
	Tells nodes something; what is lost on the way is not sent again.
	*/
	send(members: readonly Member[], message: PeerMessage): void;
	lastReceivedAt(): number | undefined;
};

/**
Periods of the failure detector among these nodes. They are shorter than the defaults: a directory
may name a dead node for some seconds only.
*/
export const meshParameters: MembershipParameters = {
	probeIntervalMs: 400,
	acknowledgeTimeoutMs: 300,
	suspicionTimeoutMs: 1500,
	indirectProbes: 2,
	crossZoneEvery: 3,
	deadRetentionMs: 7_200_000,
	maximumUpdates: 6,
};

/**
Loads older than this are not used, in milliseconds.
*/
export const loadRetentionMs = 5000;

/**
How long a node that leaves is named to callers where there is no other in its region, in milliseconds:
it takes them for a second longer.
*/
export const leavingAdvertisedMs = 3300;

/**
A node that started so lately is told of nodes that left long ago, and cannot tell them from those
that leave now, in milliseconds.
*/
export const newcomerMs = 2500;

const seedRange = 2 ** 31;

// The platform gives nodes no shared secret; the seal guards against stray datagrams only.
const sealKey = 'quillford-mesh';

/**
Builds a mesh; nothing is sent before `start`.
*/
export const createMesh = (options: MeshOptions): Mesh => {
	const {clock} = options;
	const random = createRandom(randomBytes(4).readUInt32LE() % seedRange);
	const sealer = createSealer(sealKey);
	const codec = createHeartbeatCodec(sealer);
	const messageCodec = createPeerMessageCodec(sealer);
	const membership = createMembership({
		self: {
			id: options.id,
			availabilityZone: options.availabilityZone,
			peerAddress: options.peerAddress,
			callerAddress: options.callerAddress,
			incarnation: options.wallClock(),
			revision: 0,
			status: 'alive',
		},
		random,
		parameters: meshParameters,
	});
	const digests: DigestTable = createDigestTable({
		node: options.id,
		availabilityZone: options.availabilityZone,
		incarnation: () => membership.self().incarnation,
		sizeOf: codec.sizeOf,
		retention: {'zone-summary': loadRetentionMs},
	});
	const startedAt = clock();
	const leavingSince = new Map<string, number>();
	// A restart of the node is another change, which ends its leaving.
	const noteLeaving = ({id, status}: Member) => {
		if (status === 'leaving' && clock() - startedAt >= newcomerMs) {
			leavingSince.set(id, clock());
		} else {
			leavingSince.delete(id);
		}
	};

	const controller = createMembershipController(
		{
			membership,
			digests,
			clock,
			logger: options.logger,
			settings: {peerAddress: options.peerAddress},
			configuration: {
				stamp: () => encodeRegistryStamp(options.registryStamp()),
			},
		},
		codec,
		(address) => address,
		{
			onDigests: () => undefined,
			onStamp(stamp, from) {
				options.onRegistryStamp(decodeRegistryStamp(stamp), from);
			},
			onChanged: noteLeaving,
			onOtherDatagram(datagram) {
				const message = messageCodec.decode(datagram);
				if (message) {
					options.onMessage(message);
				}
			},
		},
	);

	const isSpeaker = (): boolean => {
		const self = membership.self();
		const inZone = [self, ...membership.members()].filter(
			({availabilityZone, status}) =>
				status === 'alive' && availabilityZone === self.availabilityZone,
		);
		const first = rendezvousFirst(self.availabilityZone, inZone, ({id}) => id);
		return first?.id === self.id;
	};

	// Asked for at each choice and each tick, by readers that may keep what they derive from the same lists.
	const usable = createDerived(membership.members, (members) =>
		members.filter(({status}) => status === 'alive'),
	);
	const usableByRegion = createDerived(usable, (members) =>
		Map.groupBy(members, ({availabilityZone}) =>
			options.regionOf(availabilityZone),
		),
	);

	return {
		async start() {
			await controller.start?.();
		},
		async stop() {
			await controller.stop?.();
		},
		tick(now) {
			controller.tick?.(now);
		},
		mergeMembers(members) {
			controller.handle({kind: 'state', members});
		},
		announce() {
			controller.handle({kind: 'announce'});
		},
		leave() {
			controller.handle({kind: 'leave'});
			leavingSince.set(options.id, clock());
		},
		self: membership.self,
		others: membership.members,
		usable,
		isRecentlyLeaving: ({id, status}) =>
			status === 'leaving' &&
			clock() - (leavingSince.get(id) ?? -Infinity) < leavingAdvertisedMs,
		usableIn: (region) => usableByRegion().get(region) ?? [],
		publishLoad(services, now) {
			if (!isSpeaker()) {
				return;
			}

			const {availabilityZone} = options;
			digests.put(
				{kind: 'zone-summary', availabilityZone, services},
				'everywhere',
				now,
			);
		},
		loadIn: (availabilityZone, service, now) =>
			digests
				.values('zone-summary', now)
				.find(({value}) => value.availabilityZone === availabilityZone)?.value
				.services[service],
		send: createPeerMessageSender(messageCodec, controller.send),
		lastReceivedAt: membership.lastReceivedAt,
	};
};
