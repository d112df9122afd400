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
import {isCold, type ServerState} from './server-state.ts';

/**
Where a request could go in the own region.
*/
export type LocalChoice =
	| {
			readonly kind: 'server';
			readonly id: string;
			/**
			Load after the request, 1 being full; comparable between servers and regions.
			*/
			readonly cost: number;
	  }
	/**
	There are servers, but none has room for another request of this node.
	*/
	| {
			readonly kind: 'full';
			/**
			Given where all of them have named limits: requests a second that this node may send them. More room does not
			come, whatever ends there.
			*/
			readonly perSecond?: number;
			/**
			Given where all of them rest: milliseconds until the first of them may be sent a request.
			*/
			readonly backoffRemainingMs?: number;
	  }
	| {readonly kind: 'none'};

// Servers whose costs differ by less look alike. Nodes see their own requests only, so without a draw
// all of them would send to the first server of the list.
const alikeCost = 0.1;

/**
Chooses the server that costs a request least, among those that have room for it.
*/
export const chooseServer = (
	options: ServerChoiceOptions,
	states: Iterable<ServerState>,
	placement: Placement,
	now: number,
): LocalChoice => {
	const fit = [...states].filter((state) => isFit(state, placement));
	if (fit.length === 0) {
		return {kind: 'none'};
	}

	// Left out before the others are compared: a keeper that may not be sent the prompt is none.
	const awake = fit.filter((state) => isAwake(options, state, now));
	if (awake.length === 0) {
		return fullOfResting(options, fit, now);
	}

	const candidates = awake.filter((state) =>
		isWithinLimit(options, state, placement, now),
	);
	if (candidates.length === 0) {
		return fullOfLimited(options, awake);
	}

	// Asked once: it counts all nodes of the region, and there may be as many servers as nodes.
	const sharers = sharingNodesOf(placement, options.nodesServing());
	const rereadCostOf = prefillCosts(options, candidates, placement, now);
	const loadOf = estimatedLoads(options, candidates, placement, now);
	let best: {readonly state: ServerState; readonly cost: number} | undefined;
	for (const state of candidates) {
		const fullness = utilizationOf(options, state, sharers, now);
		const load = loadOf(state, fullness);
		if (
			fullness > 1 ||
			load > 1 ||
			!isFreeOfSuspects(state, placement) ||
			!hasColdRoom(options, state, now)
		) {
			continue;
		}

		const cost =
			load +
			stateCost(options, state, now) +
			rereadCostOf(state) +
			options.randomFraction() * alikeCost;
		if (!best || cost < best.cost) {
			best = {state, cost};
		}
	}

	return best
		? {kind: 'server', id: best.state.known.server.id, cost: best.cost}
		: {kind: 'full'};
};

const isFit = (
	{known: {server}, isSuspect}: ServerState,
	{service, excluded}: Placement,
): boolean =>
	!isSuspect && server.service === service && !excluded.has(server.id);

const isAwake = (
	{backoffs}: ServerChoiceOptions,
	{incarnationId, inFlight}: ServerState,
	now: number,
): boolean =>
	!backoffs.hasAny() || backoffs.canSend(incarnationId, inFlight, now);

const fullOfResting = (
	{backoffs}: ServerChoiceOptions,
	fit: readonly ServerState[],
	now: number,
): LocalChoice => {
	const backoffRemainingMs = Math.min(
		...fit.map(({incarnationId}) => backoffs.remainingMs(incarnationId, now)),
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

// Those without a limit are always candidates, so all that are fit have one.
const fullOfLimited = (
	{backendLimits}: ServerChoiceOptions,
	fit: readonly ServerState[],
): LocalChoice => {
	let perSecond = 0;
	for (const {incarnationId} of fit) {
		perSecond += backendLimits.rateOf(incarnationId) ?? 0;
	}

	return {kind: 'full', perSecond};
};

// Of two requests that were at the same crashes none can be told to have caused them. Tried apart from each other, the one
// that crashes servers is found sooner, and fewer that merely shared them are lost.
const isFreeOfSuspects = (
	{crashSuspects}: ServerState,
	{isIsolated}: Placement,
): boolean => !isIsolated || crashSuspects === 0;

const hasColdRoom = (
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
