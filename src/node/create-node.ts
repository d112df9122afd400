import {createGatewayError, type GatewayError} from '../errors/index.ts';
import type {Logger} from '../logging/index.ts';
import {listEntryVms} from '../membership/index.ts';
import {startPeerServer, type PeerServer} from '../peers/index.ts';
import type {ServeSettings} from '../settings/index.ts';
import {createForwardHandler} from './forward-handler.ts';
import type {GatewayNode} from './gateway-node.ts';
import {createNodeControllers} from './node-controllers.ts';
import {createNodeCore} from './node-core.ts';
import {createNodeLimits} from './node-limits.ts';
import {createNodeQuarantine} from './node-quarantine.ts';
import {createNodeStatements} from './node-statements.ts';
import {createRequestPath} from './request-path.ts';

/**
Creates a node from its settings; nothing runs before `start`.
*/
export const createNode = (
	settings: ServeSettings,
	logger: Logger,
): GatewayNode => {
	const core = createNodeCore(settings, logger);
	const {context, engines, sealer} = core;
	const {clock, configuration, membership, digests} = context;
	let isLeaving = false;
	let server: PeerServer | undefined;

	const entryVms = () =>
		listEntryVms(membership.self(), membership.members(), core.random);

	const waitUntilUpToDate = async (): Promise<void> => {
		controllers.host.checkPause();
		if (controllers.recovery.isRecovering()) {
			await controllers.recovery.waitUntilRecovered();
		}
	};

	const isUpToDate = (): boolean => {
		controllers.host.checkPause();
		return !controllers.recovery.isRecovering();
	};

	const readiness = async (): Promise<GatewayError | undefined> => {
		if (isLeaving) {
			return createGatewayError(
				'leaving',
				'This entry VM is leaving; use one of the others',
				{
					entryVms: entryVms().entryVms,
				},
			);
		}

		await waitUntilUpToDate();
		return undefined;
	};

	const quarantine = createNodeQuarantine(core, (to, datagram) => {
		controllers.membership.send(to, datagram);
	});
	const backendLimits = createNodeLimits(core, (to, datagram) => {
		controllers.membership.send(to, datagram);
	});
	const {statements, announcements} = createNodeStatements(
		core,
		backendLimits,
		(engine, incarnation) => {
			controllers.fleet.recordShutdown(engine, incarnation);
		},
	);
	const dependencies = {
		quarantine,
		backendLimits,
		statements,
		announcements,
	};
	const gate = {readiness, waitUntilUpToDate, isUpToDate};
	const path = createRequestPath(core, gate, dependencies);
	const {chain, executor, inFlight, permits, report} = path;
	const controllers = createNodeControllers(core, path, dependencies);

	return {
		...context,
		chain,
		chooser: path.chooser,
		inFlight,
		async start() {
			server = await startPeerServer({
				address: settings.peerAddress,
				sealer,
				maximumBodyBytes: settings.maximumBodyBytes,
				onForward: createForwardHandler({
					context,
					chain,
					executor,
					inFlight,
					readiness,
				}),
				handlers: {
					state: (availabilityZone) => ({
						members: [membership.self(), ...membership.members()],
						digests: digests.allEntries(availabilityZone, clock()),
						stamp: configuration.stamp(),
					}),
					configuration: () => configuration.current()?.text,
					report,
				},
			});
			await controllers.host.start();
		},
		async drain() {
			isLeaving = true;
			controllers.membership.handle({kind: 'leave'});
			if (settings.maximumWaitMs >= settings.drainTimeoutMs) {
				path.capacity.close();
			}

			logger.info(
				{inFlight: inFlight.count()},
				'draining; new requests are refused',
			);
			return inFlight.waitUntilIdle(settings.drainTimeoutMs);
		},
		isLeaving: () => isLeaving,
		async stop() {
			await controllers.host.stop().catch(() => undefined);
			await server?.close();
			await Promise.all([
				engines.close(),
				context.peers.close(),
				context.platform.close(),
				path.metrics.close(),
			]);
		},
		report,
		entryVms,
		issueRequestId: () => permits.issue(clock()),
		readiness,
		controlCounts: () => ({
			...controllers.membership.counts(),
			digestEntries: digests.size(),
			permits: permits.size(),
		}),
	};
};
