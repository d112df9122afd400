import type {BackendLimits} from '../backend-limits/index.ts';
import type {Placement} from './placement.ts';
import {isCold, prefillBacklogOf, type ServerState} from './server-state.ts';
import type {StatedLoad} from './stated-load.ts';

/**
How an attempt at a backend server ended.
*/
export const attemptEnds = [
	'answered',
	/**
	It answered with a fault, broke off, or never answered.
	*/
	'failed',
	/**
	It stated that the request did not run.
	*/
	'refused',
	/**
	This node gave it up for a reason that says nothing of the server.
	*/
	'abandoned',
] as const;

/**
One of the ends of an attempt.
*/
export type BackendAttemptEnd = (typeof attemptEnds)[number];

/**
A request under way at a backend server.
*/
export type BackendAttempt = {
	readonly server: string;
	/**
	To be called with each sign of life from the server.
	*/
	recordActivity(now: number): void;
	/**
	To be called with what the server says of its load.
	*/
	recordStatedLoad(load: StatedLoad, now: number): void;
	/**
	To be called with each piece of a stream but the first, and the time since the one before.
	*/
	recordChunkInterval(intervalMs: number, now: number): void;
	/**
	To be called when the first event or the answer is there.
	*/
	recordFirstEvent(now: number): void;
	end(how: BackendAttemptEnd, now: number): void;
};

/**
Tells the other nodes of the region how many tokens of this node's long prompts a server has still to read.
*/
export type PrefillBacklogSender = (server: string, tokens: number) => void;

/**
What attempts are counted with.
*/
export type AttemptOptions = {
	readonly sendPrefillBacklog: PrefillBacklogSender;
	/**
	Whether a server is known to keep a prompt part in its memory.
	*/
	readonly isCached: (server: string, part: string) => boolean;
	readonly backendLimits: Pick<BackendLimits, 'recordSend'>;
};

/**
A prompt with fewer tokens to read is not told: it delays the requests behind it by some tens of milliseconds, and there
are many of them.
*/
export const minimumBroadcastTokens = 2500;

// Weight of one more outcome in a server's failure rate.
const failureWeight = 0.1;

// Weight of one more piece in a server's pace: with fifty streams under way it follows within a second.
const paceWeight = 0.02;

// Requests to a cold server that are remembered before the latest one.
const keptColdRequests = 100;

/**
Counts a request to a server in the server's state, until its end is told.
*/
export const beginAttempt = (
	state: ServerState,
	placement: Placement,
	now: number,
	{sendPrefillBacklog: tell, isCached, backendLimits}: AttemptOptions,
): BackendAttempt => {
	const tellMore = (more: number) => {
		if (more === 0) {
			return;
		}

		state.broadcastTokens += more;
		tell(state.known.server.id, state.broadcastTokens);
	};

	backendLimits.recordSend(state.incarnationId, now);
	const waiting = {since: now};
	const tokens = tokensToRead(state, placement, isCached);
	const toldTokens = tokens >= minimumBroadcastTokens ? tokens : 0;
	const hadNothingToRead = prefillBacklogOf(state, now) === 0;
	state.inFlight += 1;
	state.crashSuspects += placement.isIsolated ? 1 : 0;
	state.serviceInFlight.add(1, now);
	state.pendingTokens += tokens;
	state.pending.add(waiting);
	tellMore(toldTokens);
	if (placement.sharedPart) {
		state.promptCache.use(placement.sharedPart);
	}

	if (isCold(state, now)) {
		state.coldSentAt = [...state.coldSentAt.slice(-keptColdRequests), now];
	}

	let isEnded = false;
	const settle = () => {
		if (!state.pending.delete(waiting)) {
			return;
		}

		state.pendingTokens -= tokens;
		tellMore(-toldTokens);
	};

	return {
		server: state.known.server.id,
		recordActivity(at) {
			state.lastActivityAt = at;
		},
		recordStatedLoad(load, at) {
			state.statedLoad = {
				others: Math.max(0, load.running + load.waiting - state.inFlight),
				at,
			};
		},
		recordChunkInterval(intervalMs, at) {
			state.chunkIntervalMs +=
				(intervalMs - state.chunkIntervalMs) * paceWeight;
			state.chunkIntervalAt = at;
		},
		recordFirstEvent(at) {
			state.lastActivityAt = at;
			if (hadNothingToRead && state.pending.has(waiting)) {
				state.prefillSpeed.record(tokens, at - now);
			}

			settle();
		},
		end(how, at) {
			if (isEnded) {
				return;
			}

			isEnded = true;
			settle();
			state.inFlight -= 1;
			state.crashSuspects -= placement.isIsolated ? 1 : 0;
			state.serviceInFlight.add(-1, at);
			if (how === 'answered' || how === 'refused') {
				state.lastActivityAt = at;
			}

			noteEnd(state, how);
		},
	};
};

const tokensToRead = (
	{promptCache, known}: ServerState,
	{promptTokens, sharedPart}: Placement,
	isCached: AttemptOptions['isCached'],
): number =>
	sharedPart &&
	(promptCache.has(sharedPart.id) || isCached(known.server.id, sharedPart.id))
		? promptTokens - sharedPart.tokens
		: promptTokens;

const noteEnd = (state: ServerState, how: BackendAttemptEnd): void => {
	// The other ends say nothing of how well the server serves.
	if (!(how === 'answered' || how === 'failed')) {
		return;
	}

	const outcome = how === 'failed' ? 1 : 0;
	state.failureRate += (outcome - state.failureRate) * failureWeight;
};
