import {gradedCapacityFactor} from '../demand/index.ts';
import {rendezvousFirst} from '../shared/index.ts';
import {estimatedLoad, estimatedPeerRequests} from './estimated-load.ts';
import type {Placement} from './placement.ts';
import type {ServerChoiceOptions} from './server-choice-options.ts';
import {prefillBacklogOf, silentFor, type ServerState} from './server-state.ts';

// Maximum requests of all nodes in flight at a server, as a multiple of its slots. Engines queue requests that exceed their
// batch at little cost; plain servers delay them.
const engineCapacityFactor = 1.5;
const plainCapacityFactor = 2;

// Number of nodes assumed to send long prompts to one server: the node that receives them from other regions, and the nodes of
// the local region whose callers use the same prompt part. Dividing the capacity by the number of all nodes would leave this
// node without capacity for half of the prompts, which other servers would then process again.
const longPromptNodes = 3;

// Prefill backlog, in tokens, that delays subsequent requests about as much as a fully loaded server does.
const fullLoadTokens = 40_000;

// Chunk interval, in milliseconds, that costs as much as a fully loaded server. It is slightly below the longest pause that
// callers still perceive as fluent. The number of requests in flight does not show how busy an engine is that processes long
// prompts between the tokens of its streams.
const fullLoadChunkIntervalMs = 400;

// Time after which a measured chunk interval is ignored, in milliseconds: about the duration of a stream.
const chunkIntervalMaximumAgeMs = 3000;

// Cost factor for processing a shared part that another server has cached. A second prefill takes engine time from the whole
// region, evicts other parts and is paid for, so it costs far more than an equal wait behind another prompt. The part is
// processed again only where the servers that hold it have no capacity.
const repeatedPrefillFactor = 16;

// Fraction of the target time that prefill may take. The remainder covers network transit and prompts that other nodes send in
// the meantime.
const prefillTimeFraction = 0.7;

// Cost factor for processing a part that no server has cached. The first server in rendezvous order is exempt, because the other
// nodes choose it too; another server is chosen only if its load is lower by more than this cost.
const firstPrefillFactor = 0.5;

// Cost of a server in another zone of the region: traffic between zones is paid for.
const otherZoneCost = 0.15;

// Cost of a server that fails every request, compared with one that fails none.
const failureCost = 3;

/**
Returns the number of nodes that share the capacity of a server for a request.
*/
export const sharingNodesOf = (
	{sharedPart}: Placement,
	nodesServing: number,
): number =>
	sharedPart ? Math.min(nodesServing, longPromptNodes) : nodesServing;

/**
A request for a server, and the number of nodes that share the server's capacity for such requests.
*/
export type ServerShare = {
	readonly placement: Placement;
	readonly sharingNodes: number;
};

/**
Returns the utilization of a server's capacity after one more request of this node. A value above 1 means that no capacity is
left. If the other nodes reported their requests, these count; otherwise each node is limited to an equal share.
*/
export const utilizationOf = (
	options: ServerChoiceOptions,
	state: ServerState,
	{placement, sharingNodes}: ServerShare,
	now: number,
): number => {
	const peerRequests = peerRequestsAt(state, now);
	if (peerRequests !== undefined) {
		const load = state.inFlight + 1 + peerRequests;
		return isBurstExhausted(options, state, placement, now)
			? Infinity
			: load / capacityOf(options, state, placement, now);
	}

	const capacity =
		Math.max(
			1,
			Math.ceil(capacityOf(options, state, placement, now) / sharingNodes),
		) * sharingNodes;
	return estimatedLoad(state, sharingNodes, now, {additional: 1}) / capacity;
};

/**
Returns a function that estimates the load of a server after one more request of this node, including the expected requests of
the other nodes. A load of 1 is full. Servers are compared by this value.

With many nodes, multiplying this node's current requests by the number of nodes would overestimate the load and send requests
to other regions needlessly.
*/
export const estimatedLoads = (
	options: ServerChoiceOptions,
	candidates: readonly ServerState[],
	placement: Placement,
	now: number,
): ((state: ServerState, utilization: number) => number) => {
	// The utilization already counts what the other nodes reported.
	if (candidates[0] && peerRequestsAt(candidates[0], now) !== undefined) {
		return (_state, utilization) => utilization;
	}

	// Few nodes send long prompts to one server, so this node's own requests are a good estimate of theirs.
	const isLongPrompt = placement.sharedPart !== undefined;
	if (isLongPrompt || options.without.has('smoothed-load')) {
		return (_state, utilization) => utilization;
	}

	const nodes = options.nodesServing();
	const mean = candidates[0]?.serviceInFlight.mean(now) ?? 0;
	const others = estimatedPeerRequests(mean, nodes, candidates.length);
	return (state) =>
		estimatedLoad(state, nodes, now, {additional: 1, others}) /
		capacityOf(options, state, placement, now);
};

const capacityOf = (
	options: ServerChoiceOptions,
	state: ServerState,
	placement: Placement,
	now: number,
): number =>
	state.known.server.slots * capacityFactorOf(options, state, placement, now);

const capacityFactorOf = (
	options: ServerChoiceOptions,
	state: ServerState,
	{priority, sharedPart, targetMs}: Placement,
	now: number,
): number => {
	const {service} = state.known.server;
	const levels = options.urgencyLevels?.(service);
	if (options.service(service)?.engine === undefined) {
		return levels === undefined
			? plainCapacityFactor
			: queueingCapacityFactor(state.peerRequests.meanDurationMs(), targetMs);
	}

	if (levels === undefined || priority === undefined) {
		return engineCapacityFactor;
	}

	// Processing a shared part again at another engine takes more from everyone than the slot does here.
	const minimumFactor =
		sharedPart && isHolderOf(options, state, sharedPart.id) ? 1 : 0;
	const factor = Math.max(
		minimumFactor,
		gradedCapacityFactor(levels, priority),
	);
	return (
		factor * (options.urgencyPressure?.factor(service, priority, now) ?? 1)
	);
};

// Maximum requests in flight at a plain server whose requests are short beside their target, as a multiple of its slots. Servers
// turn away what exceeds their queues, which are a few times as long as their slots.
const maximumPlainCapacityFactor = 3;

// A request may wait behind others for half of its target.
const queueingFraction = 0.5;

const queueingCapacityFactor = (
	durationMs: number | undefined,
	targetMs: number,
): number =>
	Math.min(
		maximumPlainCapacityFactor,
		Math.max(
			plainCapacityFactor,
			(targetMs * queueingFraction) / (durationMs ?? targetMs),
		),
	);

const isHolderOf = (
	{isCached}: ServerChoiceOptions,
	{known, promptCache}: ServerState,
	part: string,
): boolean => isCached(known.server.id, part) || promptCache.has(part);

// Multiple of its equal share of a plain server that a node may use while the other nodes leave the rest. Reports are older than
// the short requests that they count, so in a rush of callers only this bound holds.
const burstFactor = 2;

// Callers send a few requests at once.
const minimumBurst = 3;

// Whether this node has as many short requests at a plain server as it may, whatever the reports say.
const isBurstExhausted = (
	options: ServerChoiceOptions,
	state: ServerState,
	placement: Placement,
	now: number,
): boolean =>
	options.service(state.known.server.service)?.engine === undefined &&
	state.inFlight >=
		Math.max(
			minimumBurst,
			Math.ceil(
				(capacityOf(options, state, placement, now) * burstFactor) /
					options.nodesServing(),
			),
		);

/**
Returns the requests that all nodes together may have in flight at a server of a service.
*/
export const sharedCapacityOf = (slots: number, isEngine: boolean): number =>
	slots * (isEngine ? engineCapacityFactor : plainCapacityFactor);

/**
Estimates the requests of the other nodes at a server from what they reported; undefined without a recent report.
*/
export const peerRequestsAt = (
	{peerRequests, known}: ServerState,
	now: number,
): number | undefined => peerRequests.estimate(known.server.id, now);

/**
Returns the cost of a server's state, without that of a shared part. A fully loaded server costs 1.
*/
export const stateCost = (
	options: ServerChoiceOptions,
	state: ServerState,
	placement: Placement,
	now: number,
): number =>
	(state.known.server.availabilityZone === options.availabilityZone
		? 0
		: otherZoneCost) +
	(options.without.has('reading-cost')
		? 0
		: prefillLoadOf(options, state, placement, now) / fullLoadTokens) +
	(options.without.has('pace')
		? 0
		: effectiveChunkIntervalOf(state, now) / fullLoadChunkIntervalMs) +
	(options.without.has('failure-cost') ? 0 : state.failureRate * failureCost) +
	connectionCost(options, state, now);

// Returns the tokens that delay a prompt at a server. Where servers are filled by urgency, the tokens of the prompt itself count too,
// and a slow server takes longer for all of them: it pauses the streams that run beside a long prompt.
const prefillLoadOf = (
	{urgencyLevels}: ServerChoiceOptions,
	state: ServerState,
	{service, promptTokens, sharedPart}: Placement,
	now: number,
): number => {
	const backlog = prefillBacklogOf(state, now);
	return urgencyLevels?.(service) === undefined
		? backlog
		: (backlog + promptTokens - (sharedPart?.tokens ?? 0)) /
				state.speed.relative();
};

// A server to which no connection is idle costs as much as the random part of a cost. With many nodes and servers, connections
// otherwise close unused between two requests of a node.
const newConnectionCost = 0.1;

const connectionCost = (
	{hasIdleConnection}: ServerChoiceOptions,
	state: ServerState,
	now: number,
): number =>
	hasIdleConnection === undefined ||
	peerRequestsAt(state, now) === undefined ||
	hasIdleConnection(state.known.server.id)
		? 0
		: newConnectionCost;

/**
Returns a function that gives the cost of processing the shared part of a prompt at a server. Parts that this node sent
recently count as cached, because engines report their caches with a delay.
*/
export const prefillCosts = (
	options: ServerChoiceOptions,
	candidates: readonly ServerState[],
	placement: Placement,
	now: number,
): ((state: ServerState) => number) => {
	const {without} = options;
	const {sharedPart} = placement;
	if (!sharedPart || without.has('reread-cost')) {
		return () => 0;
	}

	const {id, tokens} = sharedPart;
	const prefillCost = tokens / fullLoadTokens;
	const isHolder = (state: ServerState) => isHolderOf(options, state, id);
	const holders = new Set(candidates.filter((state) => isHolder(state)));
	if (holders.size > 0) {
		const isCopyUseful =
			!without.has('prompt-copies') &&
			isServedSoonerByCopy(candidates, holders, placement, now);
		const factor = isCopyUseful ? 1 : repeatedPrefillFactor;
		return (state) => (holders.has(state) ? 0 : prefillCost * factor);
	}

	const first = rendezvousFirst(id, candidates, ({known}) => known.server.id);
	return (state) => (state === first ? 0 : prefillCost * firstPrefillFactor);
};

// Whether no server that has cached the shared part of a prompt is likely to begin its response in time, but another one is although
// it processes the part first. Several servers then come to hold hot parts. If all servers are too busy, or the prompt itself takes
// longer than its target, a second prefill would only make the engines slower.
const isServedSoonerByCopy = (
	candidates: readonly ServerState[],
	holders: ReadonlySet<ServerState>,
	placement: Placement,
	now: number,
): boolean => {
	const {promptTokens, sharedPart} = placement;
	const ownTokens = promptTokens - (sharedPart?.tokens ?? 0);
	return (
		!holders
			.values()
			.some((state) => isInTime(state, ownTokens, placement, now)) &&
		candidates.some(
			(state) =>
				!holders.has(state) && isInTime(state, promptTokens, placement, now),
		)
	);
};

// Whether a server is likely to have processed this many tokens of a prompt in time to begin its response.
const isInTime = (
	state: ServerState,
	tokens: number,
	{targetMs}: Placement,
	now: number,
): boolean => {
	const speed = state.prefillSpeed.tokensPerMs();
	const tokensAhead = prefillBacklogOf(state, now) + tokens;
	return (
		speed === undefined || tokensAhead / speed <= targetMs * prefillTimeFraction
	);
};

// Without new measurements, the chunk interval decays to 0. While a server has pending requests, the interval is at least the time
// since its last activity.
const effectiveChunkIntervalOf = (state: ServerState, now: number): number => {
	const {chunkIntervalMs, chunkIntervalAt} = state;
	const weight = Math.max(
		0,
		1 - (now - chunkIntervalAt) / chunkIntervalMaximumAgeMs,
	);
	return Math.max(chunkIntervalMs * weight, silentFor(state, now));
};
