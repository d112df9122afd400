import {readFileSync} from 'node:fs';
import {
	parseConfiguration,
	type Configuration,
	type Policy,
	type Strategy,
} from '../../src/configuration/index.ts';
import {createFleet, type Fleet} from '../../src/fleet/index.ts';
import {createClientLimits, type ClientLimits} from '../../src/limits/index.ts';
import type {Member} from '../../src/membership/index.ts';
import {createDurationHistogram} from '../../src/reporting/index.ts';
import {
	createTargetChooser,
	type GatewayRequest,
	type ReceivedZoneSummary,
	type TargetChooser,
} from '../../src/requests/index.ts';
import {createRetryBudget, type RetryBudget} from '../../src/retries/index.ts';
import {createRandom, type Random} from '../../src/shared/index.ts';
import {
	createEngineModel,
	createTimeline,
	type EngineModel,
	type Timeline,
} from './engine-model.ts';

/**
A situation that strategies are compared in.
*/
export type Situation = {
	readonly name: string;
	/**
	Requests a second entering each zone, as a share of what its engines can carry.
	*/
	readonly loadOf: (zone: number, seconds: number) => number;
	/**
	Age of load reports, in milliseconds.
	*/
	readonly reportLagMs: number;
	/**
	Changes engines as time goes by.
	*/
	readonly script?: (model: ScriptedModel) => void;
	/**
	A client that asks for this many times its limit; others ask for a tenth of theirs.
	*/
	readonly greed?: number;
	/**
	Whether retries have a budget; without one every failure is tried again.
	*/
	readonly hasBudget?: boolean;
	/**
	Whether long prompts have one engine of each zone to themselves.
	*/
	readonly isSplit?: boolean;
};

/**
What a script can change.
*/
export type ScriptedModel = {
	readonly timeline: Timeline;
	readonly engines: ReadonlyMap<string, EngineModel>;
	readonly enginesIn: (zone: number) => readonly EngineModel[];
};

/**
Figures of one run.
*/
export type RunFigures = {
	readonly requests: number;
	readonly answeredShare: number;
	readonly firstP50: number;
	readonly firstP95: number;
	readonly firstP99: number;
	readonly awayShare: number;
	readonly costPerThousand: number;
	readonly attemptsPerRequest: number;
	readonly lightP99: number;
	readonly heavyP99: number;
	/**
	Of the clients that keep to their limits, where one does not.
	*/
	readonly modestP99: number;
	readonly modestAnsweredShare: number;
};

/**
How a run is set up.
*/
export type RunOptions = {
	readonly deployment: 'ajoke' | 'lindner';
	readonly situation: Situation;
	readonly strategy: Strategy;
	readonly seed: number;
	readonly seconds: number;
};

const nodesPerZone = 3;
const statementMs = 500;
const summaryMs = 1000;
const digestDelayMs = 400;
const wideAreaMs = 20;
const warmUpSeconds = 5;
const prefixes = 60;

type ModelNode = {
	readonly zone: number;
	readonly fleet: Fleet;
	readonly chooser: TargetChooser;
	readonly limits: ClientLimits;
	readonly budget: RetryBudget;
};

type Weight = 'light' | 'heavy';

const weights: Readonly<
	Record<
		Weight,
		{
			readonly tokens: number;
			readonly prefillMs: number;
			readonly share: number;
		}
	>
> = {
	light: {tokens: 40, prefillMs: 6, share: 0.85},
	heavy: {tokens: 200, prefillMs: 60, share: 0.15},
};

const load = (name: string): Configuration => {
	const parsed = parseConfiguration(
		readFileSync(`examples/${name}/configuration.yaml`, 'utf8'),
	);
	if (parsed.isErr) {
		throw new Error(JSON.stringify(parsed.error));
	}

	return parsed.value.configuration;
};

/**
Requests a second that one engine carries with all slots taken.
*/
export const capacityOf = (slots: number, stepMs: number): number => {
	const meanTokens =
		weights.light.tokens * weights.light.share +
		weights.heavy.tokens * weights.heavy.share;
	const bySlots = (slots * 1000) / (meanTokens * stepMs * 2);
	const meanPrefill =
		weights.light.prefillMs * weights.light.share +
		weights.heavy.prefillMs * weights.heavy.share;
	return Math.min(bySlots, 1000 / meanPrefill);
};

const drawInterval = (random: Random, perSecond: number): number =>
	(-Math.log(1 - random.fraction()) * 1000) / perSecond;

// The examples label one engine of each zone as large.
const selectorOf = (weight: Weight): Policy['backendServers'] => ({
	matchLabels: {engine: weight === 'heavy' ? 'large' : 'standard'},
	matchExpressions: [],
});

/**
Runs one situation in virtual time with the decisions of the real nodes.
*/
export const runModel = (options: RunOptions): RunFigures => {
	const {situation, seed, seconds} = options;
	const configuration = load(options.deployment);
	const service = configuration.services[0]!;
	const zones = configuration.regions.map(
		({availabilityZones}) => availabilityZones[0]!,
	);
	const servers = configuration.backendServers.filter(
		(server) => server.service === service.name,
	);
	const stepMs = options.deployment === 'ajoke' ? 4 : 5;
	const timeline = createTimeline();
	const random = createRandom(seed);
	const engines = new Map(
		servers.map(({id, slots}) => [
			id,
			createEngineModel(timeline, {
				slots,
				stepMs,
				warmShare: 0.1,
				cachedPrefixes: prefixes / 2,
			}),
		]),
	);
	const policy: Policy = {
		name: 'measured',
		priority: 0,
		requests: {matchLabels: {}, matchExpressions: []},
		regions: {matchLabels: {}, matchExpressions: []},
		backendServers: {matchLabels: {}, matchExpressions: []},
		strategy: options.strategy,
	};
	const policyOf = (weight: Weight): Policy =>
		situation.isSplit === true
			? {...policy, name: weight, backendServers: selectorOf(weight)}
			: policy;
	const policies = {light: policyOf('light'), heavy: policyOf('heavy')};
	const summaries = new Map<
		string,
		ReceivedZoneSummary & {readonly at: number}
	>();
	const serversIn = (zone: number) =>
		servers.filter(({availabilityZone}) => availabilityZone === zones[zone]);
	const isZoneUp = (zone: number) =>
		serversIn(zone).some(({id}) => !engines.get(id)!.isDown());

	const createNode = (zone: number, index: number): ModelNode => {
		const fleet = createFleet();
		fleet.handle({kind: 'configured', backendServers: serversIn(zone)}, 0);
		const memberOf = (name: string): Member => ({
			id: `${name}-0`,
			availabilityZone: name,
			peerAddress: '',
			callerAddress: '',
			incarnation: 1,
			revision: 0,
			status: 'alive',
		});
		const chooser = createTargetChooser({
			limits: {canSend: () => true, rateOf: () => undefined},
			availabilityZone: zones[zone]!,
			fleet,
			random: createRandom(seed * 100 + zone * 10 + index),
			configuration: () => configuration,
			membersIn: (name) =>
				isZoneUp(zones.indexOf(name)) ? [memberOf(name)] : [],
			summaryOf(name, _service, now) {
				const heard = summaries.get(name);
				return heard && {...heard, ageMs: now - heard.at};
			},
		});
		return {
			zone,
			fleet,
			chooser,
			limits: createClientLimits(() => zones.length * nodesPerZone),
			budget: createRetryBudget(),
		};
	};

	const nodes = zones.flatMap((_, zone) =>
		Array.from({length: nodesPerZone}, (__, index) => createNode(zone, index)),
	);
	const nodesIn = (zone: number) => nodes.filter((node) => node.zone === zone);

	// Soft state travels as digests do: stated twice a second, heard a little later.
	const exchange = () => {
		for (const {id} of servers) {
			const observedAt = timeline.now();
			const {running, queued} = engines.get(id)!.load();
			const report = {running, queued, slots: 0, incarnation: 'i'};
			if (!engines.get(id)!.isDown()) {
				timeline.schedule(observedAt + situation.reportLagMs, () => {
					for (const node of nodes) {
						node.fleet.handle(
							{kind: 'load-reported', backendServer: id, report, observedAt},
							timeline.now(),
						);
					}
				});
			}
		}

		for (const [index, node] of nodes.entries()) {
			const counts = node.fleet.inFlight();
			timeline.schedule(timeline.now() + digestDelayMs, () => {
				for (const other of nodesIn(node.zone)) {
					if (other !== node) {
						other.fleet.handle(
							{kind: 'peer-in-flight', node: String(index), counts},
							timeline.now(),
						);
					}
				}
			});
		}

		const demand = nodes.map((node, index) => ({
			holder: String(index),
			availabilityZone: '',
			rates: node.limits.demand(timeline.now()),
		}));
		for (const [index, node] of nodes.entries()) {
			node.limits.setPeerDemand(demand.filter((_, other) => other !== index));
		}

		timeline.schedule(timeline.now() + statementMs, exchange);
	};

	const summarize = () => {
		for (const [zone, name] of zones.entries()) {
			const figures = nodesIn(zone)[0]!.fleet.capacity(
				serversIn(zone),
				timeline.now(),
			);
			const at = timeline.now();
			timeline.schedule(at + digestDelayMs, () => {
				summaries.set(name, {...figures, ageMs: 0, at});
			});
		}

		timeline.schedule(timeline.now() + summaryMs, summarize);
	};

	const first = createDurationHistogram();
	const modest = createDurationHistogram();
	const byWeight = {
		light: createDurationHistogram(),
		heavy: createDurationHistogram(),
	};
	const totals = {
		requests: 0,
		answered: 0,
		away: 0,
		cost: 0,
		tokens: 0,
		attempts: 0,
		modest: 0,
		modestAnswered: 0,
	};
	const greedy = configuration.clients[0]!;
	const others = configuration.clients.filter(
		(client) => client !== greedy && !client.residency,
	);

	type Job = {
		readonly request: GatewayRequest;
		readonly weight: Weight;
		readonly home: number;
		readonly startedAt: number;
		readonly isModest: boolean;
		readonly node: ModelNode;
		readonly excluded: Set<string>;
		attempts: number;
	};

	const retry = (job: Job) => {
		const hasRetry =
			situation.hasBudget === false || job.node.budget.hasRetry();
		if (!hasRetry || job.attempts >= 4) {
			return;
		}

		job.node.budget.spend();
		attempt(job);
	};

	const serve = (job: Job, node: ModelNode, server: string, wayMs: number) => {
		const {tokens, prefillMs} = weights[job.weight];
		const sentAt = timeline.now();
		const engine = engines.get(server)!;
		node.fleet.handle({kind: 'attempt-started', backendServer: server}, sentAt);
		const isTaken = engine.submit({
			prompt: job.request.prefixKey,
			prefillMs,
			tokens,
			onFirstToken() {
				const now = timeline.now();
				node.fleet.handle(
					{kind: 'first-token', backendServer: server, elapsedMs: now - sentAt},
					now,
				);
				count(job, server, now + wayMs - job.startedAt);
			},
			onEnd() {
				node.fleet.handle(
					{kind: 'attempt-ended', backendServer: server, end: 'answered'},
					timeline.now(),
				);
			},
		});
		if (isTaken) {
			return;
		}

		const end = engine.isDown() ? 'unreachable' : 'refused';
		node.fleet.handle(
			{kind: 'attempt-ended', backendServer: server, end},
			timeline.now(),
		);
		job.excluded.add(server);
		retry(job);
	};

	const count = (job: Job, server: string, firstTokenMs: number) => {
		if (job.startedAt < warmUpSeconds * 1000) {
			return;
		}

		const {availabilityZone, costPerThousandTokens} = servers.find(
			({id}) => id === server,
		)!;
		const {tokens} = weights[job.weight];
		totals.answered += 1;
		totals.away += zones.indexOf(availabilityZone) === job.home ? 0 : 1;
		totals.cost += (tokens / 1000) * costPerThousandTokens;
		totals.tokens += tokens;
		first.record(firstTokenMs);
		byWeight[job.weight].record(firstTokenMs);
		if (!job.isModest) {
			return;
		}

		totals.modestAnswered += 1;
		modest.record(firstTokenMs);
	};

	const attempt = (job: Job) => {
		job.attempts += 1;
		totals.attempts += job.startedAt < warmUpSeconds * 1000 ? 0 : 1;
		const choice = job.node.chooser.choose(
			job.request,
			{excluded: job.excluded, isForwarded: false},
			timeline.now(),
		);
		if (choice.kind === 'backend-server') {
			serve(job, job.node, choice.server.id, 0);
		} else if (choice.kind === 'peer') {
			timeline.schedule(timeline.now() + wideAreaMs, () => {
				const receivers = nodesIn(zones.indexOf(choice.zone.availabilityZone));
				const receiver = receivers[random.below(receivers.length)]!;
				const local = receiver.chooser.choose(
					job.request,
					{excluded: job.excluded, isForwarded: true},
					timeline.now(),
				);
				if (local.kind === 'backend-server') {
					serve(job, receiver, local.server.id, wideAreaMs);
				} else {
					job.excluded.add(choice.member.id);
					retry(job);
				}
			});
		}
	};

	const arrive = (home: number) => {
		const now = timeline.now();
		const perSecond =
			situation.loadOf(home, now / 1000) *
			serversIn(home).length *
			capacityOf(serversIn(home)[0]!.slots, stepMs);
		timeline.schedule(
			now + drawInterval(random, Math.max(0.1, perSecond)),
			() => {
				arrive(home);
			},
		);
		// Callers of a lost zone ask the entry VMs of another one.
		const zone = isZoneUp(home) ? home : (home + 1) % zones.length;
		const weight: Weight =
			random.fraction() < weights.heavy.share ? 'heavy' : 'light';
		const isGreedy =
			situation.greed !== undefined &&
			random.fraction() < situation.greed / (situation.greed + 1);
		const client = isGreedy
			? {...greedy, requestsPerSecond: 30, burst: 30}
			: others[random.below(others.length)]!;
		const node = nodesIn(zone)[random.below(nodesPerZone)]!;
		const isCounted = now >= warmUpSeconds * 1000;
		totals.requests += isCounted ? 1 : 0;
		totals.modest += isCounted && !isGreedy ? 1 : 0;
		if (
			situation.greed !== undefined &&
			node.limits.admit(client, now).kind === 'limited'
		) {
			return;
		}

		const request: GatewayRequest = {
			requestId: '',
			client,
			service,
			model: undefined,
			isStreaming: true,
			labels: {},
			claim: {requested: undefined, client},
			homeRegion: configuration.regions[home]!.name,
			priority: 5,
			deadline: now + 30_000,
			isRepeatable: true,
			session: '',
			prefixKey: `${weight}-${home}-${random.below(prefixes)}`,
			method: 'POST',
			url: '',
			contentType: undefined,
			body: undefined as never,
			signal: undefined as never,
			policy: policies[weight],
		};
		node.budget.earn();
		attempt({
			request,
			weight,
			home,
			startedAt: now,
			isModest: !isGreedy,
			node,
			excluded: new Set(),
			attempts: 0,
		});
	};

	exchange();
	summarize();
	for (const zone of zones.keys()) {
		arrive(zone);
	}

	situation.script?.({
		timeline,
		engines,
		enginesIn: (zone) => serversIn(zone).map(({id}) => engines.get(id)!),
	});
	timeline.run(seconds * 1000);
	const firstFigures = first.percentiles();
	return {
		requests: totals.requests,
		answeredShare: totals.answered / totals.requests,
		firstP50: firstFigures.p50,
		firstP95: firstFigures.p95,
		firstP99: firstFigures.p99,
		awayShare: totals.away / Math.max(1, totals.answered),
		costPerThousand: (1000 * totals.cost) / Math.max(1, totals.tokens),
		attemptsPerRequest: totals.attempts / totals.requests,
		lightP99: byWeight.light.percentiles().p99,
		heavyP99: byWeight.heavy.percentiles().p99,
		modestP99: modest.percentiles().p99,
		modestAnsweredShare: totals.modestAnswered / Math.max(1, totals.modest),
	};
};
