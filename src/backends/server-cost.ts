import {rendezvousFirst} from '../shared/index.ts';
import {estimatedLoad, estimatedPeerRequests} from './estimated-load.ts';
import type {Placement} from './placement.ts';
import type {ServerChoiceOptions} from './server-choice-options.ts';
import {prefillBacklogOf, silentFor, type ServerState} from './server-state.ts';

// Requests that all nodes together hold at a server, by its slots: engines queue what does not
// fit their batch at little cost, plain servers answer it later.
const engineRoom = 1.5;
const plainRoom = 2;

// Long prompts for one server come by way of few nodes: the one that other regions send them to, and
// those of its own region that have callers for the same part. With room by the number of all nodes
// half of the prompts met a server that this node had no room at, and were read again elsewhere.
const nodesOfLongPrompts = 3;

// As much prompt as delays the requests behind it about as much as a full server does, in tokens.
const promptTokensOfFull = 40_000;

// A server whose streams have a piece so seldom is as bad as a full one, in milliseconds: a little less than
// the longest pauses at which callers still take an answer for fluent. Requests that are under way say little of
// how busy an engine is that reads long prompts between the tokens of its streams.
const paceOfFull = 400;

// How long a pace says something, in milliseconds: about as long as a stream lasts.
const paceTrustMs = 3000;

// Reading a shared part again takes its time from the requests of the whole region, drives other parts out
// and is paid for, so it counts for far more than the same wait behind another prompt: a part is read again
// only where its keepers have no room.
const anotherReadFactor = 16;

// The part of the target time that the reading of what is there may take: the rest is for the way, and for what other
// nodes send meanwhile.
const inTimePart = 0.7;

// Where no server keeps a part one has to read it: the first in the order of its hash, for there the
// other nodes look for it, unless another is less busy by more than this counts.
const firstReadFactor = 0.5;

// What a server of another zone of the region is worse by: the bytes between zones are paid for.
const otherZoneCost = 0.15;

// What a server that fails every request is worse by than a sound one.
const failureCost = 3;

/**
How many nodes share the room of a server for a request.
*/
export const sharingNodesOf = (
	{sharedPart}: Placement,
	nodesServing: number,
): number =>
	sharedPart ? Math.min(nodesServing, nodesOfLongPrompts) : nodesServing;

/**
The part of the room of a server that is taken once it has one more request of this node, with each node
keeping to an equal share of it; beyond 1 there is none left.
*/
export const utilizationOf = (
	options: ServerChoiceOptions,
	state: ServerState,
	sharers: number,
	now: number,
): number => {
	const room =
		Math.max(1, Math.ceil(wholeRoom(options, state) / sharers)) * sharers;
	return estimatedLoad(state, sharers, now, {additional: 1}) / room;
};

/**
The load of a server once it has one more request of this node, 1 being full, by what the other nodes are
likely to hold there; what servers are compared by.

A node among many that took its one request for as many as there are nodes would send to other regions without need.
*/
export const estimatedLoads = (
	options: ServerChoiceOptions,
	candidates: readonly ServerState[],
	{sharedPart}: Placement,
	now: number,
): ((state: ServerState, fullness: number) => number) => {
	// Long prompts for one server come by way of so few nodes that what this one holds tells of the others.
	const isLongPrompt = sharedPart !== undefined;
	if (isLongPrompt || options.without.has('smoothed-load')) {
		return (_state, fullness) => fullness;
	}

	const nodes = options.nodesServing();
	const mean = candidates[0]?.serviceInFlight.mean(now) ?? 0;
	const others = estimatedPeerRequests(mean, nodes, candidates.length);
	return (state) =>
		estimatedLoad(state, nodes, now, {additional: 1, others}) /
		wholeRoom(options, state);
};

const wholeRoom = (
	{service}: ServerChoiceOptions,
	{known: {server}}: ServerState,
): number =>
	server.slots *
	(service(server.service)?.engine === undefined ? plainRoom : engineRoom);

/**
What a server's state counts for, whatever the request, in parts of a full server.
*/
export const stateCost = (
	options: ServerChoiceOptions,
	state: ServerState,
	now: number,
): number =>
	(state.known.server.availabilityZone === options.availabilityZone
		? 0
		: otherZoneCost) +
	(options.without.has('reading-cost')
		? 0
		: prefillBacklogOf(state, now) / promptTokensOfFull) +
	(options.without.has('pace') ? 0 : paceOf(state, now) / paceOfFull) +
	(options.without.has('failure-cost') ? 0 : state.failureRate * failureCost);

/**
What reading the shared part of a prompt counts for at each server. What this node sent lately counts as
kept, for engines tell of their memory late.
*/
export const prefillCosts = (
	{isCached, without}: ServerChoiceOptions,
	candidates: readonly ServerState[],
	placement: Placement,
	now: number,
): ((state: ServerState) => number) => {
	const {sharedPart} = placement;
	if (!sharedPart || without.has('reread-cost')) {
		return () => 0;
	}

	const {id, tokens} = sharedPart;
	const readCost = tokens / promptTokensOfFull;
	const isKeeper = ({known, promptCache}: ServerState) =>
		isCached(known.server.id, id) || promptCache.has(id);
	const keepers = new Set(candidates.filter((state) => isKeeper(state)));
	if (keepers.size > 0) {
		const isKeeperInTime =
			without.has('prompt-copies') ||
			[...keepers].some((state) => isInTime(state, placement, now));
		const factor = isKeeperInTime ? anotherReadFactor : 1;
		return (state) => (keepers.has(state) ? 0 : readCost * factor);
	}

	const first = rendezvousFirst(id, candidates, ({known}) => known.server.id);
	return (state) => (state === first ? 0 : readCost * firstReadFactor);
};

// Whether a server that keeps the shared part of a prompt is likely to begin its answer in time. Where none is, another
// one reads the part as well, and hot parts come to be kept by several.
const isInTime = (
	state: ServerState,
	{sharedPart, promptTokens, targetMs}: Placement,
	now: number,
): boolean => {
	const speed = state.prefillSpeed.tokensPerMs();
	const tokens =
		prefillBacklogOf(state, now) + promptTokens - (sharedPart?.tokens ?? 0);
	return speed === undefined || tokens / speed <= targetMs * inTimePart;
};

// Without streams to tell it by, a server's pace is taken to get better; one that owes answers has no better
// pace than the silence that it has kept.
const paceOf = (state: ServerState, now: number): number => {
	const {chunkIntervalMs, chunkIntervalAt} = state;
	const trust = Math.max(0, 1 - (now - chunkIntervalAt) / paceTrustMs);
	return Math.max(chunkIntervalMs * trust, silentFor(state, now));
};
