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
// These are imported directly because the index of the folder also loads the listener for typed calls, which takes a third
// of the memory of an idle node and is not used here.
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
	ownValue,
	rendezvousFirst,
	type Address,
} from '../shared/index.ts';

/**
Options of `createMesh`.
*/
export type MeshOptions = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly peerAddress: Address;
	readonly callerAddress: Address;
	readonly regionOf: (availabilityZone: string) => string;
	/**
	Returns the registry state of this node; sent with every heartbeat.
	*/
	readonly registryStamp: () => RegistryStamp;
	readonly onRegistryStamp: (stamp: RegistryStamp, from: Address) => void;
	/**
	Called with each message of another node other than a heartbeat.
	*/
	readonly onMessage: (message: PeerMessage) => void;
	readonly clock: () => number;
	/**
	Milliseconds since the Unix epoch; not monotonic.
	*/
	readonly wallClock: () => number;
	readonly logger: Logger;
};

/**
A node's view of the other nodes, maintained by heartbeats.
*/
export type Mesh = {
	/**
	Binds the socket. Datagrams are dropped before `join`. May be called again after it has rejected.
	*/
	open(): Promise<void>;
	/**
	Starts to reply to other nodes, which then count this node as able to serve.
	*/
	join(): void;
	stop(): Promise<void>;
	tick(now: number): void;
	/**
	Merges the members that another node knows.
	*/
	mergeMembers(members: readonly Member[]): void;
	/**
	Sends heartbeats to some nodes immediately to propagate a change.
	*/
	announce(): void;
	leave(): void;
	self(): Member;
	/**
	All known members except this node, including dead and leaving members.
	*/
	others(): readonly Member[];
	/**
	Other nodes of a region that can serve requests.
	*/
	usableIn(region: string): readonly Member[];
	usable(): readonly Member[];
	/**
	Whether a node started to leave so recently that it still accepts callers.
	*/
	isRecentlyLeaving(member: Member): boolean;
	/**
	Publishes the load of the services in the zone of this node, if this node is the reporter of its zone.
	*/
	publishLoad(
		services: Readonly<Record<string, ZoneServiceSummary>>,
		now: number,
	): void;
	/**
	Returns the latest load of a service in a zone.
	*/
	loadIn(
		availabilityZone: string,
		service: string,
		now: number,
	): ZoneServiceSummary | undefined;
	/**
	Sends a message to other nodes. Delivery is best effort: lost datagrams are not sent again.
	*/
	send(members: readonly Member[], message: PeerMessage): void;
	lastReceivedAt(): number | undefined;
};

/**
Parameters of the failure detector. The periods are shorter than the defaults because a directory may list a dead node
for a few seconds at most.
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
Maximum age of a load that is used, in milliseconds.
*/
export const loadRetentionMs = 5000;

/**
Time for which a leaving node is still advertised to callers if its region has no other node, in milliseconds. The node
accepts callers for one second longer.
*/
export const leavingAdvertisedMs = 3300;

/**
Time after its start during which a node treats leaving members as gone, in milliseconds. In this time it receives entries
of nodes that left long ago and cannot distinguish them from nodes that are leaving now.
*/
export const leavingUnknownMs = 2500;

const seedRange = 2 ** 31;

// The platform provides no shared secret for nodes; the seal only protects against stray datagrams.
const sealKey = 'quillford-mesh';

/**
Creates a mesh; nothing is sent before `join`.
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
		retentionMs: {'zone-summary': loadRetentionMs},
	});
	let hasJoined = false;
	const startedAt = clock();
	const leavingSince = new Map<string, number>();
	// A node that restarts causes another change, which clears its leaving state.
	const trackLeaving = ({id, status}: Member) => {
		if (status === 'leaving' && clock() - startedAt >= leavingUnknownMs) {
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
			onChanged: trackLeaving,
			hasJoined: () => hasJoined,
			onOtherDatagram(datagram) {
				const message = messageCodec.decode(datagram);
				if (message) {
					options.onMessage(message);
				}
			},
		},
	);

	const isZoneReporter = (): boolean => {
		const self = membership.self();
		const zoneNodes = [self, ...membership.members()].filter(
			({availabilityZone, status}) =>
				status === 'alive' && availabilityZone === self.availabilityZone,
		);
		const first = rendezvousFirst(
			self.availabilityZone,
			zoneNodes,
			({id}) => id,
		);
		return first?.id === self.id;
	};

	// These lists are read at each routing decision and each tick. They are cached so that readers can cache values derived
	// from the same lists.
	const usable = createDerived(membership.members, (members) =>
		members.filter(({status}) => status === 'alive'),
	);
	const usableByRegion = createDerived(usable, (members) =>
		Map.groupBy(members, ({availabilityZone}) =>
			options.regionOf(availabilityZone),
		),
	);

	return {
		async open() {
			await controller.start?.();
		},
		join() {
			hasJoined = true;
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
			if (!isZoneReporter()) {
				return;
			}

			const {availabilityZone} = options;
			digests.put(
				{kind: 'zone-summary', availabilityZone, services},
				'everywhere',
				now,
			);
		},
		loadIn(availabilityZone, service, now) {
			const found = digests
				.values('zone-summary', now)
				.find(({value}) => value.availabilityZone === availabilityZone);
			return found && ownValue(found.value.services, service);
		},
		send: createPeerMessageSender(messageCodec, controller.send),
		lastReceivedAt: membership.lastReceivedAt,
	};
};
