import {softwareVersionOf} from '../registry/index.ts';
import {coldShare, isWithinColdShare, type ColdBound} from './cold-limit.ts';
import type {Placement} from './placement.ts';
import {
	estimatedLoads,
	utilizationOf,
	prefillCosts,
	sharingNodesOf,
	stateCost,
} from './server-cost.ts';
import type {ServerChoiceOptions} from './server-choice-options.ts';
import {
	isCold,
	leasedServerOf,
	slowdownOf,
	type ServerState,
} from './server-state.ts';

/**
Result of choosing a backend server in the local region.
*/
export type LocalChoice =
	| {
			readonly kind: 'server';
			readonly id: string;
			/**
			Load after the request, where 1 is full; comparable between servers and regions.
			*/
			readonly cost: number;
	  }
	/**
	Servers exist, but none has capacity for another request of this node, or all are silent.
	*/
	| {
			readonly kind: 'full';
			/**
			Set if all servers have rate limits: requests per second that this node may send to them. The end of a request does not free
			further capacity.
			*/
			readonly perSecond?: number;
			/**
			Set if all servers are in backoff: milliseconds until the first of them accepts requests.
			*/
			readonly backoffRemainingMs?: number;
			/**
			Set if a lease of a slot was requested, whose issuer has not answered yet.
			*/
			readonly isAwaitingSlot?: true;
			/**
			Set if all servers are silent.
			*/
			readonly isSilent?: true;
	  }
	| {readonly kind: 'none'};

// Range of the random part of a cost. Nodes know only their own requests, so without randomization all of them would choose the
// first of several servers with similar costs.
const randomCostRange = 0.1;

/**
Chooses the server with the lowest cost for a request among those that have capacity.
*/
export const chooseServer = (
	options: ServerChoiceOptions,
	states: Iterable<ServerState>,
	placement: Placement,
	now: number,
): LocalChoice => {
	const matching = [...states].filter((state) => isMatching(state, placement));
	const eligible = matching.filter(({suspicion}) => suspicion === undefined);
	if (eligible.length === 0) {
		// A silent server may go on at any moment.
		return matching.some(({suspicion}) => suspicion === 'silent')
			? {kind: 'full', isSilent: true}
			: {kind: 'none'};
	}

	// Servers in backoff are excluded before costs are computed, because a cached part on them cannot be used.
	const available = eligible.filter((state) =>
		isAvailable(options, state, now),
	);
	if (available.length === 0) {
		return fullInBackoff(options, eligible, now);
	}

	const candidates = available.filter((state) =>
		isWithinLimit(options, state, placement, now),
	);
	if (candidates.length === 0) {
		return fullByLimits(options, available);
	}

	const {slotLeases} = options;
	const leased = slotLeases?.isRequired(placement.service)
		? leasedCandidates(slotLeases, candidates, placement, now)
		: undefined;
	if (leased?.isPending) {
		return {kind: 'full', isAwaitingSlot: true};
	}

	const best = cheapestOf(
		options,
		leased?.candidates ?? candidates,
		placement,
		now,
	);
	if (!best) {
		return {kind: 'full'};
	}

	if (leased?.unknown.has(best.state)) {
		slotLeases?.request(leasedServerOf(best.state), now);
		return {kind: 'full', isAwaitingSlot: true};
	}

	return {kind: 'server', id: best.state.known.server.id, cost: best.cost};
};

type RankedServer = {readonly state: ServerState; readonly cost: number};

const cheapestOf = (
	options: ServerChoiceOptions,
	candidates: readonly ServerState[],
	placement: Placement,
	now: number,
): RankedServer | undefined => {
	const isLeased = options.slotLeases?.isRequired(placement.service) ?? false;
	// Evaluated once, because it counts all nodes of the region, and there may be as many servers as nodes.
	const share = {
		placement,
		sharingNodes: sharingNodesOf(placement, options.nodesServing()),
	};
	const prefillCostOf = prefillCosts(options, candidates, placement, now);
	const loadOf = estimatedLoads(options, candidates, placement, now);
	let best: RankedServer | undefined;
	for (const state of candidates) {
		const utilization = utilizationOf(options, state, share, now);
		const load = loadOf(state, utilization);
		if (
			// A lease is exact, while this is an estimate.
			(!isLeased && (utilization > 1 || load > 1)) ||
			!hasNoSuspectConflict(state, placement) ||
			!hasColdCapacity(options, state, now)
		) {
			continue;
		}

		const cost =
			load * slowdownOf(state, now) +
			stateCost(options, state, placement, now) +
			prefillCostOf(state) +
			options.randomFraction() * randomCostRange;
		if (!best || cost < best.cost) {
			best = {state, cost};
		}
	}

	return best;
};

type LeasedCandidates = {
	/**
	Whether to wait for an issuer that was asked, because no lease is at hand.
	*/
	readonly isPending: boolean;
	readonly candidates: readonly ServerState[];
	/**
	The candidates for which a lease has to be requested first.
	*/
	readonly unknown: ReadonlySet<ServerState>;
};

// Servers with a lease at hand come first: a lease that is requested elsewhere costs a way to its issuer and back.
const leasedCandidates = (
	slotLeases: NonNullable<ServerChoiceOptions['slotLeases']>,
	states: readonly ServerState[],
	{service, sharedPart}: Placement,
	now: number,
): LeasedCandidates => {
	const byAvailability = Map.groupBy(states, (state) =>
		slotLeases.availability(leasedServerOf(state), now),
	);
	const ready = byAvailability.get('ready') ?? [];
	const unknown = slotLeases.canRequest(service, now)
		? (byAvailability.get('unknown') ?? [])
		: [];
	// A shared part is worth that way, because it would be processed again elsewhere.
	const candidates =
		sharedPart === undefined && ready.length > 0
			? ready
			: [...ready, ...unknown];
	const canWait = sharedPart !== undefined || ready.length === 0;
	return {
		isPending: canWait && byAvailability.has('pending'),
		candidates,
		unknown: new Set(unknown),
	};
};

const isMatching = (
	{known: {server}}: ServerState,
	{service, softwareVersion, excluded}: Placement,
): boolean =>
	server.service === service &&
	(softwareVersion === undefined ||
		softwareVersionOf(server) === softwareVersion) &&
	!excluded.has(server.id);

const isAvailable = (
	{backoffs}: ServerChoiceOptions,
	{incarnationId, inFlight}: ServerState,
	now: number,
): boolean =>
	!backoffs.hasAny() || backoffs.canSend(incarnationId, inFlight, now);

const fullInBackoff = (
	{backoffs}: ServerChoiceOptions,
	eligible: readonly ServerState[],
	now: number,
): LocalChoice => {
	const backoffRemainingMs = Math.min(
		...eligible.map(({incarnationId}) =>
			backoffs.remainingMs(incarnationId, now),
		),
	);
	return backoffRemainingMs > 0
		? {kind: 'full', backoffRemainingMs}
		: {kind: 'full'};
};

const isWithinLimit = (
	{backendLimits}: ServerChoiceOptions,
	{incarnationId}: ServerState,
	{hasMoreUrgentWaiter}: Placement,
	now: number,
): boolean =>
	!backendLimits.hasAny() ||
	(hasMoreUrgentWaiter === true
		? backendLimits.rateOf(incarnationId) === undefined
		: backendLimits.canSend(incarnationId, now));

// Servers without a rate limit are always candidates, so all servers in the list have one.
const fullByLimits = (
	{backendLimits}: ServerChoiceOptions,
	eligible: readonly ServerState[],
): LocalChoice => {
	let perSecond = 0;
	for (const {incarnationId} of eligible) {
		perSecond += backendLimits.rateOf(incarnationId) ?? 0;
	}

	return {kind: 'full', perSecond};
};

// If two suspected requests run on the same server and it crashes, neither can be identified as the cause. Isolating them finds
// the responsible request sooner and loses fewer requests that were only in flight at the same time.
const hasNoSuspectConflict = (
	{crashSuspects}: ServerState,
	{isIsolated}: Placement,
): boolean => !isIsolated || crashSuspects === 0;

const hasColdCapacity = (
	options: ServerChoiceOptions,
	state: ServerState,
	now: number,
): boolean => {
	const bound = isCold(state, now) ? coldBoundOf(options, state) : undefined;
	if (!bound) {
		return true;
	}

	const share = coldShare(
		bound,
		options.senderRank(state.known.server.id),
		options.knownNodes().length,
	);
	return (
		options.mayUseCold(now) && isWithinColdShare(state.coldSentAt, share, now)
	);
};

const coldBoundOf = (
	{service: serviceOf, coldOverrun, coldSlack}: ServerChoiceOptions,
	state: ServerState,
): ColdBound | undefined => {
	const service = serviceOf(state.known.server.service);
	return service && service.coldRequestsPerSecond > 0
		? {
				requestsPerSecond: service.coldRequestsPerSecond,
				overrun: coldOverrun,
				slack: coldSlack,
			}
		: undefined;
};
