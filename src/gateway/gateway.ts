import type {SilenceChange} from '../backends/index.ts';
import {capacityOfNode} from '../demand/index.ts';
import {createAddressBinder} from '../listening/index.ts';
import type {Logger} from '../logging/index.ts';
import type {PeerAddress} from '../mesh/index.ts';
import {createHeaderReader, type Address} from '../shared/index.ts';
import {
	createConnectionWarmer,
	createServerProbes,
	isForwarded,
} from './delivery/index.ts';
import {
	selectByCapacity,
	selectEntryMembers,
	createGatewayListeners,
	createRegionFailoverLog,
} from './intake/index.ts';
import type {GatewayOptions} from './gateway-options.ts';
import {
	createLoadPublisher,
	createNodeJoiner,
	createNodeState,
} from './sharing/index.ts';
import {createStartLog} from './start-log.ts';
import {createRequestHandling} from './request-handling.ts';
import {createTickSchedule, gatewayTickMs} from './tick-schedule.ts';

/**
A running gateway.
*/
export type Gateway = {
	start(): Promise<void>;
	/**
	Stops accepting callers. Resolves once all requests have ended, or after `timeoutMs`; true if all have.
	*/
	drain(timeoutMs: number): Promise<boolean>;
	stop(): Promise<void>;
	isReady(): boolean;
	/**
	Addresses of the nodes that a caller in this region and zone should use.

	@param caller Identifies the caller, so that it is given the same nodes each time.
	*/
	entryAddresses(
		region: string,
		availabilityZone: string,
		caller?: string,
	): readonly Address[];
	metrics(): Promise<string>;
	/**
	Makes the node ask its seeds again; called when they have changed.
	*/
	reload(): void;
};

/**
Creates a gateway; nothing runs before `start`.
*/
export const createGateway = (options: GatewayOptions): Gateway => {
	const {logger, headers, without} = options;
	const nodeState = createNodeState(options, {
		onLimits(limits) {
			listeners.setLimits(limits);
		},
		onChangesApplied() {
			intake.onRoutesAvailable();
			startLog.changed();
		},
		onProbeNeeded(server) {
			probes.probeNow(server);
		},
		onQuarantined(fingerprint) {
			deliveries.cancelQuarantined(fingerprint);
		},
		waiting: (service) => deliveries.waiting(service),
		onSlotGranted() {
			deliveries.dispatchQueue();
		},
		onBadStatement(server, fault) {
			observer.badStatement(server, fault);
		},
		capacity: () =>
			capacityOfNode({
				processorCores: options.processorCores,
				linkMbps: options.linkMbps,
			}),
	});
	const {
		clock,
		localRegion,
		mirror,
		registry,
		mesh,
		peerClient,
		prompts,
		limits,
		demand,
		origins,
		fleet,
		client,
		quarantine,
		backendLimits,
		refusalLimits,
		slotLeases,
		statements,
		announcements,
		leavingBroadcast,
	} = nodeState;
	const {
		intake,
		deliveries,
		observer,
		admission,
		overload,
		openResponses,
		memory,
		connections,
	} = createRequestHandling(options, nodeState, {
		onFirstWaiting() {
			ticks.reschedule();
		},
		lagMs: () => ticks.lagMs(),
		utilization: () => ticks.utilization(),
	});
	const startLog = createStartLog({
		logger,
		clock,
		routesVersion: () => mirror.routes()?.document.version,
		servers: () => fleet.ids().length,
	});
	const probes = createServerProbes({
		client,
		fleet,
		headers,
		clock,
		logger,
		healthPath: (service) =>
			mirror.routes()?.service(service)?.healthPath ?? '/',
		onGone(incarnationId) {
			quarantine.connectionRefused(incarnationId, clock());
		},
		onAlive: quarantine.crashRuledOut,
		backendLimits,
		backoffs: announcements.backoffs,
		slotLeases,
		statements,
	});

	const bind = options.bind ?? createAddressBinder({logger, clock}).bind;
	const peerAddresses: readonly PeerAddress[] = [
		{use: 'nodes', address: options.peerAddress},
		...(options.contactAddress === undefined
			? []
			: [{use: 'seeds', address: options.contactAddress} as const]),
	];
	const joiner = createNodeJoiner({
		mesh,
		peerClient,
		seeds: options.seeds,
		ownAddresses: peerAddresses.map(({address}) => address),
		random: nodeState.random,
	});
	const loadPublisher = createLoadPublisher(mesh, fleet, mirror);
	const warmer = createConnectionWarmer({
		client,
		otherRegions: nodeState.regions.filter((region) => region !== localRegion),
		membersIn: mesh.usableIn,
		random: nodeState.random,
	});

	const failoverLog = createRegionFailoverLog({
		logger,
		regionOf: nodeState.regionOf,
		members: () => [mesh.self(), ...mesh.others()],
	});

	const tick = () => {
		const now = clock();
		overload?.tick();
		mesh.tick(now);
		registry.tick(now);
		for (const change of fleet.tick(now)) {
			logSilence(logger, change);
		}

		probes.tick(now);
		quarantine.tick(now);
		backendLimits.tick(now);
		refusalLimits.tick(now);
		slotLeases.tick(now);
		announcements.tick(now);
		leavingBroadcast.tick(now);
		prompts.tick();
		limits.tick(now);
		demand.tick(now);
		origins.tick(now);
		deliveries.tick(now);
		observer.tick(now);
		joiner.tick(now);
		loadPublisher.tick(now);
		if (!without.has('connection-warming')) {
			warmer.tick(now);
		}
	};

	const ticks = createTickSchedule(deliveries.queuedCount, tick, clock);

	let isLeaving = false;
	const listeners = createGatewayListeners({
		peers: {
			addresses: peerAddresses,
			bind,
			members: () => [mesh.self(), ...mesh.others()],
			registryAfter: registry.answer,
			relayedAfter: registry.relayedAnswer,
			promptsAfter: prompts.answer,
			softwareVersions: origins.versionStatement,
			isForwarded: ({headers: values}) =>
				isForwarded(createHeaderReader(values)),
			onForwarded: intake.handleForwarded,
		},
		callers: {
			address: options.callerAddress,
			bind,
			isLeaving: () => isLeaving,
			onRequest: intake.handle,
			openResponses,
			memory,
			connections,
			onUnreadable(reason) {
				observer.rejected('', `unreadable: ${reason}`, 400);
			},
		},
	});

	// A response may be complete and still be written, to a caller who reads slowly.
	const isIdle = () => deliveries.count() === 0 && openResponses.count() === 0;

	const isIdleWithin = async (timeoutMs: number): Promise<boolean> => {
		const until = clock() + timeoutMs;
		while (!isIdle() && clock() < until) {
			await new Promise((resolve) => {
				setTimeout(resolve, gatewayTickMs);
			});
		}

		return isIdle();
	};

	return {
		async start() {
			// Before the listeners, because requests that arrive during the start wait for the first routes.
			registry.start();
			await bind('heartbeats', options.peerAddress, mesh.open);
			await listeners.start();
			// Other nodes send callers here from now on, so every socket must be open.
			mesh.join();
			ticks.start();
			joiner.askNow();
			logger.info(
				{
					node: options.id,
					ownRegion: localRegion,
					without: [...without].join(' '),
				},
				'gateway started',
			);
		},
		async drain(timeoutMs) {
			const leftAt = clock();
			isLeaving = true;
			admission.leave(leftAt, leftAt + timeoutMs);
			mesh.leave();
			logger.info(
				{
					inFlight: deliveries.count(),
					waiting: deliveries.queuedCount(),
					openResponses: openResponses.count(),
				},
				'leaving',
			);
			await new Promise((resolve) => {
				setTimeout(resolve, Math.min(leavingAcceptMs, timeoutMs));
			});
			listeners.drain();
			return isIdleWithin(timeoutMs - (clock() - leftAt));
		},
		async stop() {
			ticks.stop();
			prompts.stop();
			await Promise.all([
				options.caches?.close(),
				registry.stop(),
				mesh.stop(),
				listeners.close(),
				peerClient.close(),
				client.close(),
			]);
		},
		isReady: () => !isLeaving && mirror.routes() !== undefined,
		entryAddresses(region, availabilityZone, caller = '') {
			const named = selectEntryMembers({
				members: [mesh.self(), ...mesh.others()].filter(
					(member) =>
						member.status === 'alive' || mesh.isRecentlyLeaving(member),
				),
				regionOf: nodeState.regionOf,
				homeRoutes: (home) =>
					(mirror.routes()?.document.routes ?? []).filter(({homeRegions}) =>
						homeRegions.includes(home),
					).length,
				region,
				availabilityZone,
			});
			failoverLog.record(region, named);
			return selectByCapacity(
				named,
				({id}) => demand.capacityOf(id, clock()),
				caller,
			).map(({callerAddress}) => callerAddress);
		},
		metrics: observer.metrics,
		reload: joiner.reload,
	};
};

const logSilence = (logger: Logger, change: SilenceChange): void => {
	switch (change.kind) {
		case 'silent': {
			const {id, silentMs, unansweredProbeMs, inFlight, pending} = change;
			const fields = {
				server: id,
				silentMs: Math.round(silentMs),
				unansweredProbeMs:
					unansweredProbeMs === undefined
						? undefined
						: Math.round(unansweredProbeMs),
				inFlight,
				pending,
			};
			logger.warn(fields, 'backend server stopped responding');
			return;
		}

		case 'resumed': {
			const {id, silentMs, inFlight} = change;
			logger.info(
				{server: id, silentMs: Math.round(silentMs), inFlight},
				'backend server responds again',
			);
		}
	}
};

// How long a leaving node continues to accept connections, in milliseconds: callers use a response of the directory
// for some seconds.
const leavingAcceptMs = 4300;
