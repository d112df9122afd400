import {incarnationIdOf} from '../registry/index.ts';
import {createWindowRetryBudget} from '../retries/index.ts';
import {isRegionAllowed, type Prompt} from '../routes/index.ts';
import {
	createDeliveries,
	type Deliveries,
	createRouteDurations,
} from './delivery/index.ts';
import {createGatewayChooser} from './choosing/index.ts';
import {fingerprintOfExchange} from './fingerprint-of-exchange.ts';
import {
	createGatewayObserver,
	type GatewayObserver,
} from './gateway-observer.ts';
import type {GatewayOptions} from './gateway-options.ts';
import {
	createRequestDeferral,
	createLeavingAdmission,
	type LeavingAdmission,
	createRequestIntake,
	type RequestIntake,
} from './intake/index.ts';
import type {NodeState} from './sharing/index.ts';

/**
What takes requests in, delivers them and writes down what became of them.
*/
export type RequestHandling = {
	readonly intake: RequestIntake;
	readonly deliveries: Deliveries;
	readonly observer: GatewayObserver;
	readonly admission: LeavingAdmission;
};

/**
What the handling of requests and the ticks of a node have to do with each other.
*/
export type TickHooks = {
	/**
	Told when a request waits for room and no other does.
	*/
	readonly onFirstWaiting: () => void;
	/**
	How late the event loop is, in milliseconds.
	*/
	readonly lagMs: () => number;
};

/**
Routes confirmed within this time are taken as complete, in milliseconds.
*/
export const freshRoutesMs = 3000;

/**
Builds the handling of one node.

@param options What the node was told at its start.
@param knowledge What this node knows.
@param schedule What it has to do with the ticks.
*/
export const createRequestHandling = (
	options: GatewayOptions,
	knowledge: NodeState,
	schedule: TickHooks,
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
		announcements,
	} = knowledge;
	const {routesVersion} = mirror;
	const {choose, peerFailed} = createGatewayChooser({
		...knowledge,
		zones: options.zones,
		without: options.without,
		isCached: knowledge.prompts.isCached,
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
		connectionShare: (service, server) =>
			shares.connectionsTo(mirror.routes()?.service(service), server),
		routesVersion,
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

			if (fleet.isSuspect(server)) {
				return;
			}

			fleet.suspect(server, clock());
			logger.warn({server, reason}, 'backend server suspected');
		},
		onCallBroken(exchange, call) {
			const fingerprint = fingerprintOfExchange(exchange);
			quarantine.connectionBroken({...call, fingerprint}, clock());
		},
		onServed(exchange) {
			quarantine.served(() => fingerprintOfExchange(exchange));
		},
		quarantineStatus: (exchange) =>
			quarantine.status(() => fingerprintOfExchange(exchange), clock()),
		statements: knowledge.statements,
		announcements,
		canReceive(server, life) {
			const entry = fleet.server(server);
			return (
				entry !== undefined &&
				incarnationIdOf(entry) === life &&
				announcements.backoffs.remainingMs(life, clock()) === 0
			);
		},
		backendLimits,
		onWaiting() {
			if (deliveries.queuedCount() === 1) {
				schedule.onFirstWaiting();
			}
		},
		onRecord(record) {
			if (record.result === 'answered') {
				durations.record(record.exchange.route.name, record.totalMs);
			}

			observer.record(record);
		},
	});
	const observer = createGatewayObserver({
		logger,
		logContext: () => ({
			routesVersion: routesVersion(),
			registryEra: mirror.position().era,
			registryRevision: mirror.revision(),
			registryAgeMs: Math.round(registry.ageMs()),
		}),
		limitStates: () => knowledge.limits.states(clock()),
		gauges: {
			requestsUnderWay: deliveries.count,
			requestsWaiting: deliveries.queuedCount,
			loopLagMilliseconds: schedule.lagMs,
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
			serversLeaving: announcements.leavingServers,
			serversResting: () => announcements.serversInBackoff(clock()),
			requestsSentToLeavingServers: announcements.sentToLeaving,
			requestsSentToRestingServers: announcements.sentDuringBackoff,
			serverCrashesSeen: quarantine.crashesSeen,
			crashSuspects: quarantine.suspects,
			requestsQuarantined: () => quarantine.quarantined(clock()),
		},
	});
	const intake = createRequestIntake({
		deliveries,
		observer,
		admission,
		requestDeferral: createRequestDeferral(schedule.lagMs),
		admit({client: account, prompt}) {
			const name = account?.name ?? '';
			const now = clock();
			const verdict = knowledge.limits.admit(name, tokensOf(prompt), now);
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
	return {intake, deliveries, observer, admission};
};

const tokensOf = (prompt: Prompt | undefined): number | undefined =>
	prompt && prompt.tokensIn + prompt.tokensOut;
