import {randomBytes} from 'node:crypto';
import {
	createBackendFleet,
	createUpstreamClient,
	type BackendFleet,
	type UpstreamClient,
} from '../../backends/index.ts';
import {
	createMesh,
	createPeerQuestions,
	type Mesh,
	type PeerQuestions,
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
	createServerStandings,
	createStatementIntake,
	type LeavingBroadcast,
	type ServerStandings,
	type StatementFault,
	type StatementIntake,
} from '../../server-statements/index.ts';
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
import {createLimitSharing, type LimitSharing} from './limit-sharing.ts';
import {
	createNodeShares,
	minimumSharers,
	type NodeShares,
} from './node-shares.ts';
import {createPromptSharing, type PromptSharing} from './prompt-sharing.ts';
import {createReadingTeller} from './reading-teller.ts';
import {createRegistryChanges} from './registry-changes.ts';
import {
	createRegistrySharing,
	type RegistrySharing,
} from './registry-sharing.ts';

/**
What a node knows of other nodes, of backend servers and of prompts, and what keeps it up to date.
*/
export type NodeKnowledge = {
	/**
	Milliseconds that only rise.
	*/
	readonly clock: () => number;
	readonly random: Random;
	readonly ownRegion: string;
	readonly regions: readonly string[];
	readonly regionOf: (availabilityZone: string) => string;
	/**
	The copy of the registry, and what keeps it.
	*/
	readonly mirror: RegistryMirror;
	readonly registry: RegistrySharing;
	/**
	The other nodes, and what is shared with them.
	*/
	readonly mesh: Mesh;
	readonly questions: PeerQuestions;
	readonly shares: NodeShares;
	readonly prompts: PromptSharing;
	readonly limits: LimitSharing;
	/**
	The backend servers of the own region, and the connections to them.
	*/
	readonly fleet: BackendFleet;
	readonly client: UpstreamClient;
	/**
	The backend servers of all regions.
	*/
	readonly placement: PlacementView;
	/**
	The requests that crash the servers which run them.
	*/
	readonly quarantine: Quarantine;
	/**
	The limits that backend servers of the own region name.
	*/
	readonly backendLimits: BackendLimits;
	/**
	What backend servers have announced about receiving requests.
	*/
	readonly standings: ServerStandings;
	readonly leavingBroadcast: LeavingBroadcast;
	/**
	Takes in what backend servers state in their answers.
	*/
	readonly statements: StatementIntake;
};

/**
Who is told when the registry's copy has changed.
*/
export type KnowledgeCallbacks = {
	/**
	Told the bounds on callers of routes that come into force.
	*/
	readonly onLimits: (limits: CallerLimits) => void;
	/**
	Told last, once everything else has taken the changes in.
	*/
	readonly onTakenIn: () => void;
	/**
	Asked whether a backend server lives.
	*/
	readonly onDoubt: (server: string) => void;
	/**
	Told of each request that is put in quarantine.
	*/
	readonly onQuarantined: (fingerprint: string) => void;
	/**
	Told of each statement of a backend server that cannot be read.
	*/
	readonly onBadStatement: (server: string, fault: StatementFault) => void;
};

const seedRange = 2 ** 31;

/**
Builds the knowledge of a node that knows nothing yet; nothing runs before its parts are started.
*/
export const createNodeKnowledge = (
	options: GatewayOptions,
	{
		onLimits,
		onTakenIn,
		onDoubt,
		onQuarantined,
		onBadStatement,
	}: KnowledgeCallbacks,
): NodeKnowledge => {
	const {logger, zones, availabilityZone, bounds} = options;
	// The fleet comes later, and the clock is read before.
	let onSlept: (ms: number) => void = () => undefined;
	const clocks = options.clocks ?? machineClocks;
	const clock = createElapsedClock(clocks, (suspendedMs) => {
		onSlept(suspendedMs);
		logger.warn({suspendedMs}, 'the machine was suspended; ages count it');
	});
	const ownRegion = zones[availabilityZone] ?? '';
	const regions = [...new Set(Object.values(zones))];
	const random = createRandom(randomBytes(4).readUInt32LE() % seedRange);
	const regionOf = (zone: string) => zones[zone] ?? '';

	const mirror = createRegistryMirror();
	const client = createUpstreamClient();
	const questions = createPeerQuestions();
	const mesh = createMesh({
		...options,
		regionOf,
		registryStamp: mirror.stamp,
		onRegistryStamp(stamp, from) {
			registry.heard(stamp, from);
		},
		onMessage(message) {
			switch (message.kind) {
				case 'reading': {
					fleet.heardReading(message, clock());
					return;
				}

				case 'crashes':
				case 'quarantine':
				case 'served': {
					quarantine.hear(message, clock());
					return;
				}

				case 'backend-limits': {
					backendLimits.hear(message, clock());
					return;
				}

				case 'servers-leaving': {
					hearLeaving(message, clock());
					return;
				}

				case 'node':
				case 'zone':
				case 'totals': {
					limits.hear(message, clock());
				}
			}
		},
		clock,
		wallClock: () => Date.now(),
		logger,
	});
	const shares = createNodeShares({
		self: options.id,
		ownRegion,
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
		nodes: () => Math.max(minimumSharers, 1 + mesh.others().length),
		draw: random.fraction,
	});
	const senders = createSenderNodes({
		others: mesh.others,
		isNear: ({availabilityZone: zone}) => regionOf(zone) === ownRegion,
		lastHeard: mesh.lastHeard,
		clock,
	});
	const backendLimits = createBackendLimits({
		self: options.id,
		peers: senders.peers,
		reachableFraction: senders.reachableFraction,
		mayShare: () => shares.hasSettled() && mesh.self().status !== 'leaving',
		tell: mesh.tell,
		without: options.without,
		logger,
	});
	const standings = createServerStandings({
		logger,
		onLeaving({server, life, source}) {
			takeIn(mirror.leavingAnnounced(server, life));
			if (source !== 'node') {
				leavingBroadcast.learned({server, life}, clock());
			}
		},
		draw: random.fraction,
	});
	const leavingBroadcast = createLeavingBroadcast({
		self: options.id,
		order: createNodeOrder(
			options.id,
			createDerived(senders.peers, (members) => members.map(({id}) => id)),
		),
		tellPeers(message) {
			mesh.tell(senders.peers(), message);
		},
	});
	const hearLeaving = ({servers}: ServerLeavingMessage, now: number) => {
		for (const {server, life} of servers) {
			leavingBroadcast.heard(life);
			standings.leaves({
				server,
				life,
				source: 'node',
				sentAt: now,
				receivedAt: now,
			});
		}
	};

	const statements = createStatementIntake({
		headers: options.headers,
		onLeaving: standings.leaves,
		onRest: standings.asksForRest,
		onLimit: backendLimits.stated,
		onFault: onBadStatement,
	});
	const prompts = createPromptSharing({
		caches: options.caches,
		without: options.without,
		mirror,
		questions,
		availabilityZone,
		zones: Object.keys(zones),
		mesh,
		hasSettled: shares.hasSettled,
		backendLimits,
		rests: standings.rests,
		statements,
		clock,
		logger,
	});
	const fleet = createBackendFleet({
		nodesEverHeard: shares.nodesEverHeard,
		senderRank: shares.senderRank,
		nodesServing: shares.nodesServing,
		service: (name) => mirror.routes()?.service(name),
		coldOverrun: bounds.coldOverrun,
		coldSlack: bounds.coldSlack,
		availabilityZone,
		mayUseCold: shares.hasSettled,
		keeps: prompts.keeps,
		backendLimits,
		rests: standings.rests,
		tellReading: createReadingTeller({
			mesh,
			ownRegion,
			without: options.without,
		}),
		draw: random.fraction,
		without: options.without,
	});
	onSlept = fleet.slept;
	const placement = createPlacementView({mirror, regions, regionOf});
	const quarantine = createQuarantine({
		self: options.id,
		usable: mesh.usable,
		tell: mesh.tell,
		ask: onDoubt,
		onQuarantined,
		random,
		without: options.without,
		clock,
		logger,
	});
	const takeIn = createRegistryChanges({
		mirror,
		fleet,
		client,
		placement,
		ownRegion,
		regionOf,
		clock,
		logger,
		onLimits,
		onServerGone(life, isPlanned) {
			if (isPlanned) {
				quarantine.acquitted(life);
			} else {
				quarantine.gone(life);
			}
		},
	});
	const registry = createRegistrySharing({
		mirror,
		source: options.registry,
		without: options.without,
		mesh,
		questions,
		ownRegion,
		hasSettled: shares.hasSettled,
		random,
		clock,
		logger,
		onChanges(changes) {
			takeIn(changes);
			prompts.refresh();
			onTakenIn();
		},
	});

	return {
		clock,
		random,
		ownRegion,
		regions,
		regionOf,
		mirror,
		registry,
		mesh,
		questions,
		shares,
		prompts,
		limits,
		fleet,
		client,
		placement,
		quarantine,
		backendLimits,
		standings,
		leavingBroadcast,
		statements,
	};
};
