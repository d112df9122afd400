import {randomBytes} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {
	createConfigurationStore,
	regionOfZone,
	type ParsedConfiguration,
} from '../configuration/index.ts';
import {createControllerHost} from '../controllers/index.ts';
import {createDigestTable} from '../digests/index.ts';
import {createEngineClient} from '../engines/index.ts';
import {createGatewayError, type GatewayError} from '../errors/index.ts';
import {createFleet} from '../fleet/index.ts';
import {createClientLimits} from '../limits/index.ts';
import type {Logger} from '../logging/index.ts';
import {
	createMembership,
	listEntryVms,
	type EntryVmList,
	type Member,
} from '../membership/index.ts';
import {
	createHeartbeatCodec,
	createPeerCalls,
	createSealer,
	startPeerServer,
	type PeerServer,
} from '../peers/index.ts';
import {createPlatformClient} from '../platform/index.ts';
import {
	createMetrics,
	createRecorder,
	type NodeReport,
} from '../reporting/index.ts';
import {
	createAttempts,
	createCapacityWait,
	createInFlight,
	createPermits,
	createRequestChain,
	createRequestExecutor,
	createStreamRelay,
	createTargetChooser,
	type InFlight,
	type KeptAnswer,
	type RequestChain,
	type TargetChooser,
} from '../requests/index.ts';
import {createRetryBudget} from '../retries/index.ts';
import type {ServeSettings} from '../settings/index.ts';
import {createAddressTranslation, createRandom} from '../shared/index.ts';
import {createConfigurationController} from './configuration-controller.ts';
import {createFleetController} from './fleet-controller.ts';
import {createForwardHandler} from './forward-handler.ts';
import {createMembershipController} from './membership-controller.ts';
import type {NodeContext} from './node-context.ts';
import {createPermitHolderCall} from './permit-holder-call.ts';
import {createRecoveryController} from './recovery-controller.ts';
import {createVmListController} from './vm-list-controller.ts';

/**
A running entry node without its HTTP listeners for callers and operators.
*/
export type GatewayNode = NodeContext & {
	readonly chain: RequestChain;
	readonly chooser: TargetChooser;
	readonly inFlight: InFlight;
	start(): Promise<void>;
	/**
	Refuses new work, tells peers, and resolves once all requests have ended.
	*/
	drain(): Promise<boolean>;
	isLeaving(): boolean;
	stop(): Promise<void>;
	report(): NodeReport;
	entryVms(): EntryVmList;
	/**
	A fresh request id that a caller can use for a request that may run only once.
	*/
	issueRequestId(): string;
	readiness(): Promise<GatewayError | undefined>;
	controlCounts(): Readonly<Record<string, number>>;
};

const epochBytes = 8;
const secretBytes = 32;
const seedRange = 2 ** 31;

/**
Builds a node from its settings; nothing runs before `start`.
*/
export const createNode = (
	settings: ServeSettings,
	logger: Logger,
): GatewayNode => {
	const clock = () => performance.now();
	const wallClock = () => Date.now();
	const epoch = randomBytes(epochBytes).toString('hex');
	const random = createRandom(randomBytes(4).readUInt32LE() % seedRange);
	const translate = createAddressTranslation(settings.addressTranslations);
	const sealer = createSealer(settings.peerKey);
	const codec = createHeartbeatCodec(sealer);
	const incarnation = wallClock();
	const self: Member = {
		id: settings.nodeId,
		availabilityZone: settings.availabilityZone,
		peerAddress: settings.peerAddress,
		callerAddress: settings.callerAddress,
		incarnation,
		revision: 0,
		status: 'alive',
	};

	const configuration = createConfigurationStore();
	const membership = createMembership({self, random});
	const digests = createDigestTable({
		node: settings.nodeId,
		availabilityZone: settings.availabilityZone,
		incarnation: () => membership.self().incarnation,
		sizeOf: codec.sizeOf,
	});
	const fleet = createFleet();
	const engines = createEngineClient(translate);
	const platform = createPlatformClient(settings.platformAddress);
	const peers = createPeerCalls({
		self: membership.self,
		configurationVersion: () => configuration.stamp().version,
		sealer,
		translate,
	});
	const current = () => configuration.current()?.configuration;
	const ownRegion = () => {
		const document = current();
		return (
			(document && regionOfZone(document, settings.availabilityZone)) ?? ''
		);
	};

	const context: NodeContext = {
		settings,
		clock,
		configuration,
		membership,
		digests,
		fleet,
		peers,
		platform,
		logger,
		ownRegion,
	};

	const limits = createClientLimits(() => 1 + membership.usable().length);
	const capacity = createCapacityWait({clock, ...settings});
	const recorder = createRecorder(settings.nodeId);
	const metrics = createMetrics(settings.statsdAddress, settings.nodeId);
	const inFlight = createInFlight();
	const permits = createPermits<KeptAnswer>({
		node: settings.nodeId,
		epoch,
		secret: randomBytes(secretBytes).toString('hex'),
	});
	const chooser = createTargetChooser({
		availabilityZone: settings.availabilityZone,
		fleet,
		random,
		configuration: current,
		membersIn: (zone) =>
			membership
				.usable()
				.filter(({availabilityZone}) => availabilityZone === zone),
		summaryOf: (zone, service, now) => findSummary(digests, zone, service, now),
	});
	let attempts = 0;
	const budget = createRetryBudget();
	const attemptRunner = createAttempts({
		clock,
		chooser,
		fleet,
		engines,
		peers,
		budget,
		capacity,
		issueAttemptId() {
			attempts += 1;
			return `${settings.nodeId}.${epoch}.${attempts.toString(36)}`;
		},
		caughtUp: async () => caughtUp(),
		logger,
	});
	const executor = createRequestExecutor({
		clock,
		attempts: attemptRunner,
		relay: createStreamRelay(attemptRunner, clock),
		budget,
	});

	const host = createControllerHost(clock, logger);
	const fleetController = createFleetController({
		context,
		engines,
		limits,
		onCapacity: capacity.notify,
	});
	const membershipController = createMembershipController(
		context,
		codec,
		translate,
		{
			onDigests: fleetController.heard,
			onStamp(stamp, from) {
				configurationController.heard(stamp, from);
			},
			onChanged(member) {
				if (member.status === 'dead') {
					fleet.handle({kind: 'peer-gone', node: member.id}, clock());
				}
			},
		},
	);
	const configurationController = createConfigurationController(context, {
		onAccepted(parsed: ParsedConfiguration) {
			fleetController.configured(parsed);
			membershipController.handle({kind: 'announce'});
		},
	});
	const vmListController = createVmListController(context, {
		onEntryVms(entryVms) {
			membershipController.handle({kind: 'vm-list', entryVms});
		},
		onLeaving: fleetController.leaving,
	});
	const recovery = createRecoveryController({
		context,
		async askPlatform() {
			const answers = await Promise.all([
				configurationController.askPlatform(),
				vmListController.ask(),
			]);
			return answers.includes('silent') ? 'silent' : 'answered';
		},
		onMembers(members) {
			membershipController.handle({kind: 'state', members});
		},
		onDigests(entries) {
			fleetController.heard(digests.apply(entries, clock()));
		},
		async onStamp(stamp, from) {
			if (!configuration.isAhead(stamp)) {
				return;
			}

			const read = await peers.readConfiguration(from);
			if (read.isOk && read.value !== undefined) {
				configurationController.offer(read.value, 'peer');
			}
		},
	});
	const waiting = {
		name: 'waiting',
		tick(now: number) {
			capacity.expire(now);
			metrics.gauge('in_flight', inFlight.count());
		},
	};
	for (const controller of [
		membershipController,
		vmListController,
		configurationController,
		fleetController,
		recovery,
		waiting,
	]) {
		host.add(controller);
	}

	let isLeaving = false;
	let server: PeerServer | undefined;

	const entryVms = () =>
		listEntryVms(membership.self(), membership.members(), random);

	const caughtUp = async (): Promise<void> => {
		host.checkPause();
		if (recovery.isRecovering()) {
			await recovery.recovered();
		}
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

		await caughtUp();
		return undefined;
	};

	const chain = createRequestChain({
		clock,
		wallClock,
		configuration: configuration.current,
		ownRegion,
		readiness,
		limits,
		permits,
		executor,
		askHolder: createPermitHolderCall(context),
		recorder,
		metrics,
		inFlight,
	});
	const report = () =>
		recorder.report(current()?.objectives ?? [], wallClock());

	return {
		...context,
		chain,
		chooser,
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
				answers: {
					state: (availabilityZone) => ({
						members: [membership.self(), ...membership.members()],
						digests: digests.everything(availabilityZone, clock()),
						stamp: configuration.stamp(),
					}),
					configuration: () => configuration.current()?.text,
					report,
				},
			});
			await host.start();
		},
		async drain() {
			isLeaving = true;
			membershipController.handle({kind: 'leave'});
			logger.info(
				{inFlight: inFlight.count()},
				'leaving: new requests are refused',
			);
			return inFlight.idle(settings.drainTimeoutMs);
		},
		isLeaving: () => isLeaving,
		async stop() {
			await host.stop().catch(() => undefined);
			await server?.close();
			await Promise.all([
				engines.close(),
				peers.close(),
				platform.close(),
				metrics.close(),
			]);
		},
		report,
		entryVms,
		issueRequestId: () => permits.issue(clock()),
		readiness,
		controlCounts: () => ({
			...membershipController.counts(),
			digestEntries: digests.size(),
			permits: permits.size(),
		}),
	};
};

const findSummary: (
	digests: NodeContext['digests'],
	availabilityZone: string,
	service: string,
	now: number,
) => ReturnType<Parameters<typeof createTargetChooser>[0]['summaryOf']> = (
	digests,
	availabilityZone,
	service,
	now,
) => {
	const found = digests
		.values('zone-summary', now)
		.find(({value}) => value.availabilityZone === availabilityZone);
	const summary = found?.value.services[service];
	return found && summary
		? {...summary, ageMs: now - found.observedAt}
		: undefined;
};
