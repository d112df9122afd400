import {randomBytes} from 'node:crypto';
import type {BackendLimits} from '../backend-limits/index.ts';
import type {GatewayError} from '../errors/index.ts';
import {createClientLimits, type ClientLimits} from '../limits/index.ts';
import {
	createMetrics,
	createRecorder,
	type Metrics,
	type NodeReport,
} from '../reporting/index.ts';
import {
	createAttempts,
	createCapacityQueue,
	createInFlight,
	createPermits,
	createRequestChain,
	createRequestExecutor,
	createRequestLimits,
	createRequestQuarantine,
	createStreamRelay,
	createTargetChooser,
	type CapacityQueue,
	type ReceivedZoneSummary,
	type InFlight,
	type ReplayableAnswer,
	type Permits,
	type RequestChain,
	type RequestExecutor,
	type RequestLimits,
	type RequestStatements,
	type TargetChooser,
} from '../requests/index.ts';
import {ownValue} from '../shared/index.ts';
import type {ServerAnnouncements} from '../server-statements/index.ts';
import type {Quarantine} from '../quarantine/index.ts';
import {createRetryBudget} from '../retries/index.ts';
import type {NodeContext} from './node-context.ts';
import type {NodeCore} from './node-core.ts';
import {createPermitIssuerCall} from './permit-issuer-call.ts';

/**
The components that process requests on a node.
*/
export type RequestPath = {
	readonly chain: RequestChain;
	readonly executor: RequestExecutor;
	readonly chooser: TargetChooser;
	readonly limits: ClientLimits;
	readonly capacity: CapacityQueue;
	readonly inFlight: InFlight;
	readonly permits: Permits<ReplayableAnswer>;
	readonly metrics: Metrics;
	readonly backendLimits: RequestLimits;
	report(): NodeReport;
};

/**
Conditions that requests wait for before they start.
*/
export type RequestGate = {
	/**
	Resolves to the reason why this node accepts no requests, or undefined if it accepts them.
	*/
	readiness(): Promise<GatewayError | undefined>;
	/**
	Resolves once the node has caught up after a pause.
	*/
	waitUntilUpToDate(): Promise<void>;
	/**
	Returns false from a pause until the node has caught up.
	*/
	isUpToDate(): boolean;
};

/**
Dependencies that the request path shares with the other parts of the node.
*/
export type RequestPathDependencies = {
	readonly quarantine: Quarantine;
	readonly backendLimits: BackendLimits;
	readonly statements: RequestStatements;
	readonly announcements: ServerAnnouncements;
};

const epochBytes = 8;
const secretBytes = 32;

/**
Creates the request path of one node.
*/
export const createRequestPath = (
	core: NodeCore,
	gate: RequestGate,
	{quarantine, backendLimits, statements}: RequestPathDependencies,
): RequestPath => {
	const {context} = core;
	const {settings, clock, configuration} = context;
	const wallClock = () => Date.now();
	const epoch = randomBytes(epochBytes).toString('hex');
	const limits = createClientLimits(
		() => 1 + context.membership.usable().length,
	);
	const capacity = createCapacityQueue({clock, ...settings});
	const recorder = createRecorder(settings.nodeId);
	const metrics = createMetrics(settings.statsdAddress, settings.nodeId);
	const inFlight = createInFlight();
	const permits = createPermits<ReplayableAnswer>({
		node: settings.nodeId,
		epoch,
		secret: randomBytes(secretBytes).toString('hex'),
	});
	const backendLimitsView = createRequestLimits(backendLimits, context.fleet);
	const chooser = createChooser(core, backendLimitsView);
	const executor = createExecutor(core, {
		chooser,
		backendLimits: backendLimitsView,
		capacity,
		epoch,
		gate,
		statements,
		quarantine,
	});
	const chain = createRequestChain({
		clock,
		wallClock,
		configuration: configuration.current,
		localRegion: context.localRegion,
		readiness: gate.readiness,
		limits,
		permits,
		executor,
		askIssuer: createPermitIssuerCall(context),
		recorder,
		metrics,
		inFlight,
	});
	return {
		chain,
		executor,
		chooser,
		limits,
		capacity,
		inFlight,
		permits,
		metrics,
		backendLimits: backendLimitsView,
		report: () =>
			recorder.report(
				configuration.current()?.configuration.objectives ?? [],
				wallClock(),
			),
	};
};

const createChooser = (
	{context, random}: NodeCore,
	limits: RequestLimits,
): TargetChooser =>
	createTargetChooser({
		availabilityZone: context.settings.availabilityZone,
		fleet: context.fleet,
		limits,
		random,
		configuration: () => context.configuration.current()?.configuration,
		membersIn: (zone) =>
			context.membership
				.usable()
				.filter(({availabilityZone}) => availabilityZone === zone),
		summaryOf: (zone, service, now) =>
			findSummary(context.digests, zone, service, now),
	});

type ExecutorDependencies = Pick<RequestPath, 'chooser' | 'capacity'> &
	Pick<RequestPathDependencies, 'quarantine' | 'statements'> & {
		readonly gate: Pick<RequestGate, 'waitUntilUpToDate' | 'isUpToDate'>;
		readonly backendLimits: RequestLimits;
		/**
		Distinguishes the attempts of this incarnation of the node from those of earlier incarnations.
		*/
		readonly epoch: string;
	};

const createExecutor = (
	{context, engines}: NodeCore,
	{
		chooser,
		capacity,
		epoch,
		gate,
		quarantine,
		backendLimits,
		statements,
	}: ExecutorDependencies,
): RequestExecutor => {
	const {settings, clock, fleet, peers, logger} = context;
	const budget = createRetryBudget();
	let attemptCount = 0;
	const attempts = createAttempts({
		clock,
		chooser,
		fleet,
		engines,
		peers,
		budget,
		capacity,
		quarantine: createRequestQuarantine(quarantine, fleet, clock),
		limits: backendLimits,
		issueAttemptId() {
			attemptCount += 1;
			return `${settings.nodeId}.${epoch}.${attemptCount.toString(36)}`;
		},
		statements,
		waitUntilUpToDate: gate.waitUntilUpToDate,
		isUpToDate: gate.isUpToDate,
		logger,
	});
	return createRequestExecutor({
		clock,
		attempts,
		relay: createStreamRelay(attempts, clock),
		budget,
	});
};

const findSummary = (
	digests: NodeContext['digests'],
	availabilityZone: string,
	service: string,
	now: number,
): ReceivedZoneSummary | undefined => {
	const found = digests
		.values('zone-summary', now)
		.find(({value}) => value.availabilityZone === availabilityZone);
	const summary = found && ownValue(found.value.services, service);
	return found && summary
		? {...summary, ageMs: now - found.observedAt}
		: undefined;
};
