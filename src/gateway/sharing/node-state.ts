import {randomBytes} from 'node:crypto';
import {
	createBackendFleet,
	createUpstreamClient,
	type BackendFleet,
	type UpstreamClient,
} from '../../backends/index.ts';
import {
	createMesh,
	createPeerClient,
	type Mesh,
	type PeerClient,
} from '../../mesh/index.ts';
import {
	createRegistryMirror,
	type RegistryMirror,
} from '../../registry/index.ts';
import {createQuarantine, type Quarantine} from '../../quarantine/index.ts';
import type {ServerLeavingMessage} from '../../peers/leaving-messages.ts';
import type {CallerLimits} from '../../routes/index.ts';
import {
	createSenderNodes,
	createBackendLimits,
	type BackendLimits,
} from '../../backend-limits/index.ts';
import {
	createLeavingBroadcast,
	createRefusalLimits,
	createServerAnnouncements,
	createStatementHandler,
	type LeavingBroadcast,
	type RefusalLimits,
	type ServerAnnouncements,
	type StatementFault,
	type StatementHandler,
} from '../../server-statements/index.ts';
import {
	createSlotLeases,
	type SlotLeases,
	type WaitingRequests,
} from '../../slot-leases/index.ts';
import {
	createDerived,
	createElapsedClock,
	createNodeOrder,
	createRandom,
	machineClocks,
	type Random,
} from '../../shared/index.ts';
import type {GatewayOptions} from '../gateway-options.ts';
import {createPlacementView, type PlacementView} from '../choosing/index.ts';
import {createDemandSharing, type DemandSharing} from './demand-sharing.ts';
import {createLimitSharing, type LimitSharing} from './limit-sharing.ts';
import {
	createNodeShares,
	minimumSharingNodes,
	type NodeShares,
} from './node-shares.ts';
import {
	createOriginSharing,
	originLifeMsOf,
	type OriginSharing,
} from './origin-sharing.ts';
import {createPromptSharing, type PromptSharing} from './prompt-sharing.ts';
import {createPrefillBacklogSender} from './prefill-backlog-sender.ts';
import {createRegistryChanges} from './registry-changes.ts';
import {
	createRegistrySharing,
	type RegistrySharing,
} from './registry-sharing.ts';

/**
State of a node about other nodes, backend servers and prompts, and the components that keep it up to date.
*/
export type NodeState = {
	/**
	Monotonic clock in milliseconds.
	*/
	readonly clock: () => number;
	readonly random: Random;
	readonly localRegion: string;
	readonly regions: readonly string[];
	readonly regionOf: (availabilityZone: string) => string;
	/**
	The copy of the registry, and the component that keeps it up to date.
	*/
	readonly mirror: RegistryMirror;
	readonly registry: RegistrySharing;
	/**
	The other nodes, the client for calls to them, and what is shared with them.
	*/
	readonly mesh: Mesh;
	readonly peerClient: PeerClient;
	readonly shares: NodeShares;
	readonly prompts: PromptSharing;
	readonly limits: LimitSharing;
	/**
	Requests of all nodes at the servers of this region, and the loads of all regions.
	*/
	readonly demand: DemandSharing;
	readonly origins: OriginSharing;
	/**
	The backend servers of this region, and the client that sends requests to them.
	*/
	readonly fleet: BackendFleet;
	readonly client: UpstreamClient;
	/**
	The backend servers of all regions.
	*/
	readonly placement: PlacementView;
	/**
	The requests that crash the servers that run them.
	*/
	readonly quarantine: Quarantine;
	/**
	The limits that backend servers of this region state.
	*/
	readonly backendLimits: BackendLimits;
	/**
	The limits on refusals that backend servers of this region state, and the leases of their slots.
	*/
	readonly refusalLimits: RefusalLimits;
	readonly slotLeases: SlotLeases;
	/**
	What backend servers announced: shutdowns and backoff times.
	*/
	readonly announcements: ServerAnnouncements;
	readonly leavingBroadcast: LeavingBroadcast;
	/**
	Handles what backend servers state in their responses.
	*/
	readonly statements: StatementHandler;
};

/**
Callbacks of a node's state.
*/
export type NodeStateCallbacks = {
	/**
	Called with the caller limits of routes that come into force.
	*/
	readonly onLimits: (limits: CallerLimits) => void;
	/**
	Called after all components have applied changes of the registry.
	*/
	readonly onChangesApplied: () => void;
	/**
	Called to probe whether a backend server is alive.
	*/
	readonly onProbeNeeded: (server: string) => void;
	/**
	Called with the fingerprint of each request that is put in quarantine.
	*/
	readonly onQuarantined: (fingerprint: string) => void;
	/**
	Called for each statement of a backend server that cannot be parsed.
	*/
	readonly onBadStatement: (server: string, fault: StatementFault) => void;
	/**
	Returns the requests a second that this node carries; undefined if it does not know them.
	*/
	readonly capacity: () => number | undefined;
	/**
	Returns the requests of a service that wait for capacity.
	*/
	readonly waiting: (service: string) => WaitingRequests;
	/**
	Called when a slot of a backend server was leased to this node.
	*/
	readonly onSlotGranted: () => void;
};

const seedRange = 2 ** 31;

/**
Creates the empty state of a node; nothing runs before its components are started.
*/
export const createNodeState = (
	options: GatewayOptions,
	{
		onLimits,
		onChangesApplied,
		onProbeNeeded,
		onQuarantined,
		onBadStatement,
		capacity,
		waiting,
		onSlotGranted,
	}: NodeStateCallbacks,
): NodeState => {
	const {logger, zones, availabilityZone, bounds} = options;
	// Set once the fleet exists; the clock is read before that.
	let onSuspended: (ms: number) => void = () => undefined;
	const clocks = options.clocks ?? machineClocks;
	const clock = createElapsedClock(clocks, (suspendedMs) => {
		onSuspended(suspendedMs);
		logger.warn({suspendedMs}, 'the machine was suspended; ages count it');
	});
	const localRegion = zones[availabilityZone] ?? '';
	const regions = [...new Set(Object.values(zones))];
	const random = createRandom(randomBytes(4).readUInt32LE() % seedRange);
	const regionOf = (zone: string) => zones[zone] ?? '';

	const mirror = createRegistryMirror();
	const client = createUpstreamClient();
	const peerClient = createPeerClient();
	const mesh = createMesh({
		...options,
		regionOf,
		registryStamp: mirror.stamp,
		onRegistryStamp(stamp, from) {
			registry.receiveStamp(stamp, from);
		},
		onMessage(message) {
			switch (message.kind) {
				case 'reading': {
					fleet.recordPeerPrefillBacklog(message, clock());
					return;
				}

				case 'crashes':
				case 'quarantine':
				case 'served': {
					quarantine.receive(message, clock());
					return;
				}

				case 'backend-limits': {
					backendLimits.receive(message, clock());
					return;
				}

				case 'refusal-limits': {
					refusalLimits.receive(message, clock());
					return;
				}

				case 'slot-requests':
				case 'slot-grants': {
					slotLeases.receive(message, clock());
					return;
				}

				case 'servers-leaving': {
					receiveLeaving(message, clock());
					return;
				}

				case 'stream-origins':
				case 'stream-origin-query':
				case 'stream-origins-unknown': {
					origins.receive(message);
					return;
				}

				case 'demand-node':
				case 'demand-zone':
				case 'demand-totals':
				case 'demand-regions':
				case 'node-capacities': {
					demand.receive(message, clock());
					return;
				}

				case 'node':
				case 'zone':
				case 'totals': {
					limits.receive(message, clock());
				}
			}
		},
		clock,
		wallClock: () => Date.now(),
		logger,
	});
	const origins = createOriginSharing({
		mesh,
		regionOf,
		mirror,
		copyAgeMs: () => registry.ageMs(),
		askVersions: async (peer) => peerClient.softwareVersions(peer),
		longestLifeMs: () =>
			Math.max(
				0,
				...(mirror.routes()?.document.routes ?? [])
					.filter(({isResumable}) => isResumable)
					.map((route) => originLifeMsOf(route)),
			),
		random,
		without: options.without,
		clock,
		logger,
	});
	const shares = createNodeShares({
		self: options.id,
		localRegion,
		regionOf,
		mesh,
		clock,
	});
	const limits = createLimitSharing({
		mesh,
		clients: () => mirror.routes()?.clients,
		windowMs: bounds.limitWindowMs,
		zones: Object.keys(zones),
		hasSettled: shares.hasSettled,
		nodes: () => Math.max(minimumSharingNodes, 1 + mesh.others().length),
		randomFraction: random.fraction,
	});
	const senders = createSenderNodes({
		others: mesh.others,
		sharesServers: ({availabilityZone: zone}) => regionOf(zone) === localRegion,
		lastReceivedAt: mesh.lastReceivedAt,
		clock,
	});
	const senderOrder = createNodeOrder(
		options.id,
		createDerived(senders.peers, (members) => members.map(({id}) => id)),
	);
	const backendLimits = createBackendLimits({
		self: options.id,
		peers: senders.peers,
		reachableFraction: senders.reachableFraction,
		canUseLimitedServers: () =>
			shares.hasSettled() && mesh.self().status !== 'leaving',
		send: mesh.send,
		without: options.without,
		logger,
	});
	const announcements = createServerAnnouncements({
		logger,
		onLeaving({server, incarnationId, source}) {
			applyChanges(mirror.recordShutdown(server, incarnationId));
			if (source !== 'node') {
				leavingBroadcast.recordAnnouncement({server, incarnationId}, clock());
			}
		},
		randomFraction: random.fraction,
	});
	const leavingBroadcast = createLeavingBroadcast({
		self: options.id,
		order: senderOrder,
		sendToPeers(message) {
			mesh.send(senders.peers(), message);
		},
	});
	const receiveLeaving = ({servers}: ServerLeavingMessage, now: number) => {
		for (const {server, incarnationId} of servers) {
			leavingBroadcast.recordPeerBroadcast(incarnationId);
			announcements.recordShutdown({
				server,
				incarnationId,
				source: 'node',
				sentAt: now,
				receivedAt: now,
			});
		}
	};

	const refusalLimits = createRefusalLimits({
		self: options.id,
		order: senderOrder,
		sendToPeers(message) {
			mesh.send(senders.peers(), message);
		},
		logger,
	});
	const slotLeases = createSlotLeases({
		self: options.id,
		peers: senders.peers,
		canIssue: () => shares.hasSettled() && mesh.self().status !== 'leaving',
		reachableFraction: senders.reachableFraction,
		refusalsPerSecond: refusalLimits.perSecondOf,
		waiting,
		serversInUse: (service) => fleet.leasedServers(service),
		services: refusalLimits.services,
		send: mesh.send,
		onGranted: onSlotGranted,
		firstSession: () => mesh.self().incarnation,
		defer(run) {
			setImmediate(run);
		},
		clock,
		without: options.without,
		logger,
	});
	const statements = createStatementHandler({
		headers: options.headers,
		onLeaving: announcements.recordShutdown,
		onBackoff: announcements.recordBackoff,
		onLimit: backendLimits.recordStatement,
		onRefusalLimit(origin, statement) {
			// Servers of other regions concern the nodes there.
			const service = fleet.server(origin.server)?.service;
			if (service !== undefined) {
				refusalLimits.recordStatement(service, origin, statement);
			}
		},
		onFault: onBadStatement,
	});
	const prompts = createPromptSharing({
		caches: options.caches,
		without: options.without,
		mirror,
		peerClient,
		availabilityZone,
		zones: Object.keys(zones),
		mesh,
		hasSettled: shares.hasSettled,
		backendLimits,
		backoffs: announcements.backoffs,
		statements,
		clock,
		logger,
	});
	const fleet = createBackendFleet({
		knownNodes: shares.knownNodeIds,
		senderRank: shares.senderRank,
		nodesServing: shares.nodesServing,
		service: (name) => mirror.routes()?.service(name),
		coldOverrun: bounds.coldOverrun,
		coldSlack: bounds.coldSlack,
		availabilityZone,
		mayUseCold: shares.hasSettled,
		isCached: prompts.isCached,
		backendLimits,
		backoffs: announcements.backoffs,
		slotLeases,
		sendPrefillBacklog: createPrefillBacklogSender({
			mesh,
			localRegion,
			without: options.without,
		}),
		randomFraction: random.fraction,
		without: options.without,
		urgencyLevels: (service) => demand.urgencyLevels(service),
		hasIdleConnection: (server) => client.hasIdleConnection(`server ${server}`),
	});
	const demand = createDemandSharing({
		mesh,
		localRegion,
		regionOf,
		routes: mirror.routes,
		fleet,
		nodesServing: shares.nodesServing,
		ownCapacity: () => capacity(),
		randomFraction: random.fraction,
		without: options.without,
		logger,
	});
	onSuspended = fleet.shiftClock;
	const placement = createPlacementView({mirror, regions, regionOf});
	const quarantine = createQuarantine({
		self: options.id,
		usable: mesh.usable,
		send: mesh.send,
		probe: onProbeNeeded,
		onQuarantined,
		random,
		without: options.without,
		clock,
		logger,
	});
	const applyChanges = createRegistryChanges({
		mirror,
		fleet,
		client,
		placement,
		localRegion,
		regionOf,
		clock,
		logger,
		onLimits,
		onServerGone(incarnationId, isPlanned) {
			if (isPlanned) {
				quarantine.crashRuledOut(incarnationId);
			} else {
				quarantine.entryRemoved(incarnationId);
			}
		},
	});
	const registry = createRegistrySharing({
		mirror,
		source: options.registry,
		without: options.without,
		mesh,
		peerClient,
		localRegion,
		hasSettled: shares.hasSettled,
		random,
		clock,
		logger,
		onChanges(changes) {
			applyChanges(changes);
			origins.refresh();
			prompts.refresh();
			onChangesApplied();
		},
	});

	return {
		clock,
		random,
		localRegion,
		regions,
		regionOf,
		mirror,
		registry,
		mesh,
		peerClient,
		shares,
		prompts,
		limits,
		demand,
		origins,
		fleet,
		client,
		placement,
		quarantine,
		backendLimits,
		refusalLimits,
		slotLeases,
		announcements,
		leavingBroadcast,
		statements,
	};
};
