import type {Without} from '../mechanisms/index.ts';
import type {Service} from '../routes/index.ts';
import {rendezvousFirst} from '../shared/index.ts';
import {believedLoad} from './believed-load.ts';
import {coldShare, isWithinColdShare, type ColdBound} from './cold-limit.ts';
import type {Placement} from './placement.ts';
import {isCold, silentFor, type ServerState} from './server-state.ts';

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
	| {readonly kind: 'full'}
	| {readonly kind: 'none'};

/**
What servers are chosen by.
*/
export type ServerChoiceOptions = {
	readonly without: Without;
	readonly self: string;
	readonly availabilityZone: string;
	/**
	Ids of all nodes of the region that were ever heard of, this one included.
	*/
	readonly nodesEverHeard: () => readonly string[];
	/**
	How many nodes of the region serve now, this one included.
	*/
	readonly nodesServing: () => number;
	readonly service: (name: string) => Service | undefined;
	readonly coldOverrun: number;
	readonly coldSlack: number;
	/**
	Whether cold servers may be used yet; a node that has just started knows no other nodes.
	*/
	readonly mayUseCold: (now: number) => boolean;
	/**
	Whether a server is known to keep a prompt part in its memory.
	*/
	readonly keeps: (server: string, part: string) => boolean;
	/**
	A number from 0 to 1, by which nodes choose differently among servers that look alike.
	*/
	readonly draw: () => number;
};

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
// how busy an engine is that reads long prompts between the tokens of its streams. With pace and stated load a
// day's credit less prices rose by 0.010 (twelve pairs of plays) and 0.003 (fifteen, with the rest as it is).
const paceOfFull = 400;

// How long a pace says something, in milliseconds: about as long as a stream lasts.
const paceTrustMs = 3000;

// Reading a shared part again takes its time from the requests of the whole region, drives other parts out
// and is paid for, so it counts for far more than the same wait behind another prompt: a part is read again
// only where its keepers have no room. The steps from 2 to 4 and from 4 to 16 each spared 18 % of the tokens
// that were read again and raised a day's credit less prices by 0.020 and 0.013 (eight pairs of plays each).
const anotherReadFactor = 16;

// Where no server keeps a part one has to read it: the first in the order of its hash, for there the
// other nodes look for it, unless another is less busy by more than this counts.
const firstReadFactor = 0.5;

// What a server of another zone of the region is worse by: the bytes between zones are paid for.
const otherZoneCost = 0.15;

// Servers whose costs differ by less look alike. Nodes see their own requests only, so without a draw
// all of them would send to the first server of the list.
const alikeCost = 0.1;

// What a server that fails every request is worse by than a sound one.
const failureCost = 3;

/**
Chooses the server that costs a request least, among those that have room for it.
*/
export const chooseServer = (
	options: ServerChoiceOptions,
	states: Iterable<ServerState>,
	placement: Placement,
	now: number,
): LocalChoice => {
	const candidates = [...states].filter((state) => isFit(state, placement));
	if (candidates.length === 0) {
		return {kind: 'none'};
	}

	// Asked once: it counts all nodes of the region, and there may be as many servers as nodes.
	const nodes = options.nodesServing();
	const sharers = placement.sharedPart
		? Math.min(nodes, nodesOfLongPrompts)
		: nodes;
	const rereadFactorOf = rereadFactors(options, candidates, placement);
	let best: {readonly state: ServerState; readonly cost: number} | undefined;
	for (const state of candidates) {
		const fullness = fullnessOf(options, state, sharers, now);
		if (fullness > 1 || !hasColdRoom(options, state, now)) {
			continue;
		}

		const cost =
			fullness +
			costOf(options, state, now) +
			options.draw() * alikeCost +
			((placement.sharedPart?.tokens ?? 0) * rereadFactorOf(state)) /
				promptTokensOfFull;
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

// The first server in the order of the key's hash.
const heaviest = (
	candidates: readonly ServerState[],
	key: string,
): ServerState | undefined =>
	rendezvousFirst(key, candidates, ({known}) => known.server.id);

// The part of the room of a server that is taken once it has one more request of this node; beyond 1
// there is none left.
const fullnessOf = (
	{service}: ServerChoiceOptions,
	state: ServerState,
	sharers: number,
	now: number,
): number => {
	const {server} = state.known;
	const isEngine = service(server.service)?.engine !== undefined;
	const whole = server.slots * (isEngine ? engineRoom : plainRoom);
	const room = Math.max(1, Math.ceil(whole / sharers)) * sharers;
	return believedLoad(state, sharers, now, 1) / room;
};

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
		state.known.server.id,
		options.self,
		options.nodesEverHeard(),
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

const costOf = (
	options: ServerChoiceOptions,
	state: ServerState,
	now: number,
): number =>
	(state.known.server.availabilityZone === options.availabilityZone
		? 0
		: otherZoneCost) +
	(options.without.has('reading-cost')
		? 0
		: state.pendingTokens / promptTokensOfFull) +
	(options.without.has('pace') ? 0 : paceOf(state, now) / paceOfFull) +
	(options.without.has('failure-cost') ? 0 : state.failureRate * failureCost);

// Without streams to tell it by, a server's pace is taken to get better; one that owes answers has no better
// pace than the silence that it has kept.
const paceOf = (state: ServerState, now: number): number => {
	const {paceMs, pacedAt} = state;
	const trust = Math.max(0, 1 - (now - pacedAt) / paceTrustMs);
	return Math.max(paceMs * trust, silentFor(state, now));
};

// What a server without the part counts for. What this node sent lately counts as kept, for engines tell
// of their memory late.
const rereadFactors = (
	{keeps, without}: ServerChoiceOptions,
	candidates: readonly ServerState[],
	{sharedPart}: Placement,
): ((state: ServerState) => number) => {
	if (!sharedPart || without.has('reread-cost')) {
		return () => 0;
	}

	const {id} = sharedPart;
	const isKeeper = ({known, memory}: ServerState) =>
		keeps(known.server.id, id) || memory.has(id);
	const keepers = new Set(candidates.filter((state) => isKeeper(state)));
	if (keepers.size > 0) {
		return (state) => (keepers.has(state) ? 0 : anotherReadFactor);
	}

	const first = heaviest(candidates, id);
	return (state) => (state === first ? 0 : firstReadFactor);
};
