import type {Socket} from 'node:net';
import {incarnationIdOf} from '../registry/index.ts';
import {
	bodyBytesOf,
	createMemoryBudget,
	type MemoryBudget,
} from '../memory-budget/index.ts';
import {createWindowRetryBudget} from '../retries/index.ts';
import {isRegionAllowed, type Prompt} from '../routes/index.ts';
import {
	createDeliveries,
	type Deliveries,
	createRouteDurations,
	recordConnectFailure,
} from './delivery/index.ts';
import {createGatewayChooser} from './choosing/index.ts';
import {
	fingerprintOfExchange,
	partFingerprintsOfExchange,
} from './fingerprint-of-exchange.ts';
import {
	createGatewayObserver,
	type GatewayObserver,
} from './gateway-observer.ts';
import type {GatewayOptions} from './gateway-options.ts';
import {
	callerConnectionsOf,
	createCallerConnections,
	type CallerConnections,
	createRequestDeferral,
	createLeavingAdmission,
	createNodeOverload,
	createOpenResponses,
	socketWaitOf,
	type NodeOverload,
	type OpenResponses,
	type LeavingAdmission,
	createRequestIntake,
	type RequestIntake,
} from './intake/index.ts';
import type {NodeState} from './sharing/index.ts';

/**
The components that receive requests, deliver them and record their outcome.
*/
export type RequestHandling = {
	readonly intake: RequestIntake;
	readonly deliveries: Deliveries;
	readonly observer: GatewayObserver;
	readonly admission: LeavingAdmission;
	readonly overload: NodeOverload | undefined;
	readonly openResponses: OpenResponses;
	readonly memory: MemoryBudget;
	readonly connections: CallerConnections<Socket>;
};

/**
Hooks between request handling and the tick schedule of a node.
*/
export type TickHooks = {
	/**
	Called when a request begins to wait for capacity while no other does.
	*/
	readonly onFirstWaiting: () => void;
	/**
	Delay of the event loop in milliseconds.
	*/
	readonly lagMs: () => number;
	/**
	Fraction of the time in which the event loop was not idle, from 0 to 1.
	*/
	readonly utilization: () => number;
};

/**
Routes that were confirmed within this time are considered complete, in milliseconds.
*/
export const freshRoutesMs = 3000;

/**
Creates the request handling of one node.

@param options Options of the gateway.
@param nodeState State of this node.
@param hooks Hooks to the tick schedule.
*/
export const createRequestHandling = (
	options: GatewayOptions,
	nodeState: NodeState,
	hooks: TickHooks,
): RequestHandling => {
	const {logger, headers, bounds} = options;
	const {
		clock,
		localRegion,
		mirror,
		registry,
		mesh,
		shares,
		fleet,
		client,
		quarantine,
		backendLimits,
		refusalLimits,
		slotLeases,
		announcements,
	} = nodeState;
	const {routesVersion} = mirror;
	const overload = options.refusesWhenOverloaded
		? createNodeOverload({
				lagMs: hooks.lagMs,
				utilization: hooks.utilization,
				random: nodeState.random,
				onChange(isOverloaded, lagMs) {
					const fields = {
						lagMs: Math.round(lagMs),
						utilization: Math.round(hooks.utilization() * 100) / 100,
						inFlight: deliveries.count(),
					};
					logger.warn(
						fields,
						isOverloaded
							? 'node is overloaded and refuses requests'
							: 'node is no longer overloaded',
					);
				},
			})
		: undefined;
	const {choose, peerFailed} = createGatewayChooser({
		...nodeState,
		zones: options.zones,
		without: options.without,
		isCached: nodeState.prompts.isCached,
	});
	const durations = createRouteDurations();
	const admission = createLeavingAdmission(durations);
	const deliveries = createDeliveries({
		self: options.id,
		clock,
		headers,
		without: options.without,
		fleet,
		client,
		choose,
		budget: createWindowRetryBudget({
			ratio: bounds.retryRatio,
			windowMs: bounds.retryWindowMs,
			slack: bounds.retrySlack,
		}),
		budgetNodes: shares.retrySharingNodes,
		hasSettled: shares.hasSettled,
		durations,
		exitsAt: () =>
			options.without.has('leaving-admission') ? Infinity : admission.endsAt(),
		leavingNodes: () =>
			new Set(
				mesh
					.others()
					.filter(({status}) => status === 'leaving')
					.map(({id}) => id),
			),
		connectionShare: (service, server) =>
			shares.connectionShare(mirror.routes()?.service(service), server),
		routesVersion,
		isOnlyRegion: ({route, service}, region) =>
			nodeState.regions.every(
				(other) =>
					other === region ||
					!isRegionAllowed(route, other) ||
					nodeState.placement.slotsIn(other, service) === 0,
			),
		isServedHere: (route) => isRegionAllowed(route, localRegion),
		isClientKnown({name, keyDigest}) {
			const clients = mirror.routes()?.clients;
			return !clients || clients.byKey(keyDigest)?.name === name;
		},
		onPeerFailure: peerFailed,
		onServerFailure(server, {reason, isRefused}) {
			const entry = fleet.server(server);
			if (isRefused && entry) {
				quarantine.connectionRefused(incarnationIdOf(entry), clock());
			}

			recordConnectFailure({fleet, logger, clock}, server, reason);
		},
		onCallBroken(exchange, call) {
			const run = {
				...call,
				fingerprint: fingerprintOfExchange(exchange),
				partFingerprints: partFingerprintsOfExchange(exchange),
			};
			quarantine.connectionBroken(run, clock());
		},
		onServed(exchange, status) {
			quarantine.served(() => fingerprintOfExchange(exchange));
			quarantine.partsServed(status, () =>
				partFingerprintsOfExchange(exchange),
			);
		},
		quarantineStatus: (exchange) =>
			quarantine.status(
				() => fingerprintOfExchange(exchange),
				() => partFingerprintsOfExchange(exchange),
				clock(),
			),
		statements: nodeState.statements,
		announcements,
		canSend(server, incarnationId) {
			const entry = fleet.server(server);
			return (
				entry !== undefined &&
				incarnationIdOf(entry) === incarnationId &&
				announcements.backoffs.remainingMs(incarnationId, clock()) === 0 &&
				slotLeases.canBegin(incarnationId, clock())
			);
		},
		needsSlotLease: slotLeases.isRequired,
		backendLimits,
		origins: nodeState.origins,
		regionsWithout: nodeState.placement.regionsWithout,
		onQueued() {
			if (deliveries.queuedCount() === 1) {
				hooks.onFirstWaiting();
			}
		},
		onRecord(record) {
			if (record.result === 'answered' || record.stream?.end === 'deadline') {
				const {route, prompt} = record.exchange;
				durations.record(route.name, record.totalMs, prompt?.expectedTokensOut);
			}

			observer.record(record);
		},
		onHedge(exchange, change) {
			observer.hedge(exchange, change);
		},
		onSparseEventIds({service, softwareVersion, id}) {
			logger.info(
				{service, softwareVersion, id: String(id)},
				'event ids of a service rise by more than one',
			);
		},
	});
	const memory = createMemoryBudget({
		limitBytes: bodyBytesOf(options.memoryMb),
		otherBytes: deliveries.keptBytes,
		clock,
		logger,
	});
	const connections = createCallerConnections<Socket>(
		callerConnectionsOf(options.maximumDescriptors),
		logger,
	);
	const observer = createGatewayObserver({
		logger,
		logContext: () => ({
			routesVersion: routesVersion(),
			registryEra: mirror.position().era,
			registryRevision: mirror.revision(),
			registryAgeMs: Math.round(registry.ageMs()),
		}),
		limitStates: () => nodeState.limits.states(clock()),
		registeredServers: () =>
			mirror
				.servers()
				.values()
				.map(({server}) => server),
		gauges: {
			requestsUnderWay: deliveries.count,
			requestsWaiting: deliveries.queuedCount,
			answerBytesKept: deliveries.keptBytes,
			callerConnections: connections.count,
			callerConnectionsClosedForNew: connections.closedForNew,
			requestBytesReserved: memory.reservedBytes,
			requestsRefusedForMemory: memory.refusals,
			loopLagMilliseconds: hooks.lagMs,
			loopUtilization: hooks.utilization,
			overloadRefusedFraction: () => overload?.refusedFraction() ?? 0,
			urgencyCapacityFactor: fleet.lowestUrgencyFactor,
			regionalOverflowFraction: () =>
				Math.max(0, ...nodeState.demand.balance.fractions().values()),
			registryEra: () => mirror.position().era,
			registryRevision: mirror.revision,
			registryKeptBeyondCopy: () => Number(mirror.stamp().isAheadOfRegistry),
			registryItemsUnreadable: mirror.unreadable,
			routesVersion,
			nodesUsable: () => mesh.usable().length,
			backendServers: () => fleet.ids().length,
			upstreamConnectionsOpened: client.connectionsOpened,
			serversLimited: backendLimits.limitedServers,
			requestsSentToLimitedServers: backendLimits.sentToLimited,
			limitedServersHeldBack: backendLimits.heldBack,
			servicesWithRefusalLimit: () => refusalLimits.services().length,
			slotLeasesHeld: slotLeases.held,
			slotLeasesIssued: slotLeases.issued,
			leasedRequestsRefused: slotLeases.refusals,
			streamOriginsKept: nodeState.origins.kept,
			streamOriginsSent: nodeState.origins.sent,
			streamOriginSearches: nodeState.origins.searches,
			serversLeaving: announcements.leavingServers,
			serversResting: () => announcements.serversInBackoff(clock()),
			requestsSentToLeavingServers: announcements.sentToLeaving,
			requestsSentToRestingServers: announcements.sentDuringBackoff,
			serverCrashesSeen: quarantine.crashesSeen,
			crashSuspects: quarantine.suspects,
			requestsQuarantined: () => quarantine.quarantined(clock()),
			promptPartSuspects: quarantine.partSuspects,
			promptPartsQuarantined: () => quarantine.partsQuarantined(clock()),
		},
	});
	const openResponses = createOpenResponses();
	const intake = createRequestIntake({
		openResponses,
		memory,
		deliveries,
		observer,
		admission,
		requestDeferral: createRequestDeferral(hooks.lagMs),
		overload,
		socketWaitMs: () => (overload ? socketWaitOf(hooks.lagMs()) : 0),
		admit({client: account, prompt}) {
			const name = account?.name ?? '';
			const now = clock();
			const verdict = nodeState.limits.admit(name, tokensOf(prompt), now);
			observer.admission(name, verdict, now);
			return verdict;
		},
		without: options.without,
		readContext: () => ({
			names: headers,
			routes: mirror.routes(),
			areRoutesFresh:
				registry.ageMs() < freshRoutesMs && !mirror.mayLackRoutes(clock()),
			now: clock(),
		}),
	});
	return {
		intake,
		deliveries,
		observer,
		admission,
		overload,
		openResponses,
		memory,
		connections,
	};
};

const tokensOf = (prompt: Prompt | undefined): number | undefined =>
	prompt && prompt.tokensIn + prompt.tokensOut;
