import {randomBytes} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {createBackendFleet, createUpstreamClient} from '../backends/index.ts';
import {createMesh, createPeerQuestions} from '../mesh/index.ts';
import {createRegistryMirror} from '../registry/index.ts';
import {createWindowRetryBudget} from '../retries/index.ts';
import {isRegionAllowed} from '../routes/index.ts';
import {createRandom, type Address} from '../shared/index.ts';
import {createDeliveries} from './delivery.ts';
import {entriesFor} from './entry-members.ts';
import {createGatewayChooser} from './gateway-chooser.ts';
import {createGatewayListeners} from './gateway-listeners.ts';
import type {GatewayOptions} from './gateway-options.ts';
import {createGatewayObserver} from './gateway-observer.ts';
import {createLoadStatement} from './load-statement.ts';
import {createNodeJoiner} from './node-joiner.ts';
import {createNodeShares} from './node-shares.ts';
import type {ReadContext} from './read-exchange.ts';
import {createRegistryChanges} from './registry-changes.ts';
import {createRegistrySharing} from './registry-sharing.ts';
import {createRequestIntake} from './request-intake.ts';
import {createServerProbes} from './server-probes.ts';
import {createPlacementView} from './placement-view.ts';
import {createPromptSharing} from './prompt-sharing.ts';
import {createTickSchedule, gatewayTickMs} from './tick-schedule.ts';

/**
A running gateway.
*/
export type Gateway = {
	start(): Promise<void>;
	/**
	Takes no new callers and resolves once requests have ended, or after `timeoutMs`.
	*/
	drain(timeoutMs: number): Promise<boolean>;
	stop(): Promise<void>;
	isReady(): boolean;
	/**
	Caller addresses for a caller in a region, nearest first.
	*/
	entryAddresses(region: string, availabilityZone: string): readonly Address[];
	metrics(): Promise<string>;
	/**
	The seeds have changed.
	*/
	reload(): void;
};

/**
Routes confirmed within this time are taken as complete, in milliseconds.
*/
export const freshRoutesMs = 3000;

const seedRange = 2 ** 31;

/**
Builds a gateway; nothing runs before `start`.
*/
export const createGateway = (options: GatewayOptions): Gateway => {
	const {logger, headers, zones} = options;
	const clock = () => performance.now();
	const ownRegion = zones[options.availabilityZone] ?? '';
	const regions = [...new Set(Object.values(zones))];
	const random = createRandom(randomBytes(4).readUInt32LE() % seedRange);
	const regionOf = (zone: string) => zones[zone] ?? '';

	const mirror = createRegistryMirror();
	const client = createUpstreamClient();
	const questions = createPeerQuestions();
	const mesh = createMesh({
		...options,
		regionOf,
		revision: mirror.revision,
		onRevision(revision, from) {
			registry.heard(revision, from);
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
	const prompts = createPromptSharing({
		caches: options.caches,
		mirror,
		questions,
		availabilityZone: options.availabilityZone,
		zones: Object.keys(zones),
		members: () => [mesh.self(), ...mesh.usable()],
		self: mesh.self,
		hasSettled: shares.hasSettled,
		logger,
	});
	const fleet = createBackendFleet({
		self: options.id,
		nodesEverHeard: shares.nodesEverHeard,
		nodesServing: shares.nodesServing,
		service: (name) => mirror.routes()?.service(name),
		coldOverrun: options.bounds.coldOverrun,
		coldSlack: options.bounds.coldSlack,
		availabilityZone: options.availabilityZone,
		mayUseCold: shares.hasSettled,
		keeps: prompts.keeps,
		draw: random.fraction,
	});
	const budget = createWindowRetryBudget({
		ratio: options.bounds.retryRatio,
		windowMs: options.bounds.retryWindowMs,
		slack: options.bounds.retrySlack,
	});

	const placement = createPlacementView({mirror, regions, regionOf});
	const takeIn = createRegistryChanges({
		mirror,
		fleet,
		client,
		placement,
		ownRegion,
		regionOf,
		clock,
		logger,
		onLimits(limits) {
			listeners.limit(limits);
		},
	});
	const registry = createRegistrySharing({
		mirror,
		source: options.registry,
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
			intake.routesCame();
		},
	});

	const {choose, peerFailed} = createGatewayChooser({
		zones,
		regions,
		ownRegion,
		mesh,
		fleet,
		placement,
		keeps: prompts.keeps,
		random,
		clock,
	});
	const routesVersion = () => mirror.routes()?.document.version ?? 0;
	const inputs = () => ({
		routesVersion: routesVersion(),
		registryRevision: mirror.revision(),
		registryAgeMs: Math.round(registry.ageMs()),
	});
	const deliveries = createDeliveries({
		self: options.id,
		clock,
		headers,
		fleet,
		client,
		choose,
		budget,
		nodes: shares.retrySharers,
		hasSettled: shares.hasSettled,
		connectionsTo: (service) =>
			shares.connectionsTo(mirror.routes()?.service(service)),
		routesVersion,
		isServedHere: (route) => isRegionAllowed(route, ownRegion),
		onPeerFailure: peerFailed,
		onServerFailure(server, reason) {
			if (fleet.isSuspect(server)) {
				return;
			}

			fleet.suspect(server, clock());
			logger.warn({server, reason}, 'backend server suspected');
		},
		onWaiting() {
			if (deliveries.waiting() === 1) {
				ticks.reschedule();
			}
		},
		onRecord(record) {
			observer.record(record);
		},
	});
	const observer = createGatewayObserver({
		logger,
		inputs,
		gauges: {
			requestsUnderWay: deliveries.count,
			requestsWaiting: deliveries.waiting,
			registryRevision: mirror.revision,
			routesVersion,
			nodesUsable: () => mesh.usable().length,
			backendServers: () => fleet.ids().length,
			upstreamConnectionsOpened: client.connectionsOpened,
		},
	});
	const probes = createServerProbes({
		client,
		fleet,
		headers,
		clock,
		logger,
		healthPath: (service) =>
			mirror.routes()?.service(service)?.healthPath ?? '/',
	});

	let isLeaving = false;

	const readContext = (): ReadContext => ({
		names: headers,
		routes: mirror.routes(),
		areRoutesFresh: registry.ageMs() < freshRoutesMs,
		now: clock(),
	});

	const intake = createRequestIntake({deliveries, observer, readContext});
	const peerAddresses = [
		options.peerAddress,
		...(options.contactAddress === undefined ? [] : [options.contactAddress]),
	];
	const joiner = createNodeJoiner({
		mesh,
		questions,
		seeds: options.seeds,
		ownAddresses: peerAddresses,
		random,
	});
	const loadStatement = createLoadStatement(mesh, fleet, mirror);

	const ticks = createTickSchedule(deliveries.waiting, () => {
		const now = clock();
		mesh.tick(now);
		registry.tick(now);
		for (const server of fleet.tick(now)) {
			logger.warn({server}, 'backend server silent');
			deliveries.serverSilent(server);
		}

		probes.tick(now);
		prompts.tick();
		deliveries.tick(now);
		observer.tick(now);
		joiner.tick(now);
		loadStatement.tick(now);
	});
	const listeners = createGatewayListeners({
		peers: {
			addresses: peerAddresses,
			members: () => [mesh.self(), ...mesh.others()],
			registryAfter: registry.answer,
			relayedAfter: registry.relayedAnswer,
			promptsAfter: prompts.answer,
			onForwarded: intake.takeForwarded,
		},
		callers: {
			address: options.callerAddress,
			isLeaving: () => isLeaving,
			onRequest: intake.take,
			onUnreadable(reason) {
				observer.rejected('', `unreadable: ${reason}`, 400);
			},
		},
	});

	const isIdleWithin = async (timeoutMs: number): Promise<boolean> => {
		const until = clock() + timeoutMs;
		while (deliveries.count() > 0 && clock() < until) {
			await new Promise((resolve) => {
				setTimeout(resolve, gatewayTickMs);
			});
		}

		return deliveries.count() === 0;
	};

	return {
		async start() {
			// Before the listeners: callers that come while a node starts wait for the first routes.
			registry.start();
			await mesh.start();
			await listeners.start();
			ticks.start();
			joiner.askNow();
			logger.info({node: options.id, ownRegion}, 'gateway started');
		},
		async drain(timeoutMs) {
			isLeaving = true;
			mesh.leave();
			logger.info({inFlight: deliveries.count()}, 'leaving');
			const settled = clock() + settleMs;
			await new Promise((resolve) => {
				setTimeout(resolve, Math.min(settleMs, timeoutMs));
			});
			listeners.finish();
			return isIdleWithin(timeoutMs - (settled - clock()) - settleMs);
		},
		async stop() {
			ticks.stop();
			prompts.stop();
			await Promise.all([
				options.caches?.close(),
				registry.stop(),
				mesh.stop(),
				listeners.close(),
				questions.close(),
				client.close(),
			]);
		},
		isReady: () => !isLeaving && mirror.routes() !== undefined,
		entryAddresses(region, availabilityZone) {
			const self = mesh.self();
			const all = [self, ...mesh.usable()].filter(
				({status}) => status === 'alive',
			);
			return entriesFor({
				members: all,
				regionOf,
				region,
				availabilityZone,
			}).map(({callerAddress}) => callerAddress);
		},
		metrics: observer.metrics,
		reload: joiner.reload,
	};
};

// How long a leaving node goes on taking connections, in milliseconds: callers keep what the
// directory told them for some seconds.
const settleMs = 3500;
