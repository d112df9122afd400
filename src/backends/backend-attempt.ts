import type {BackendLimits} from '../backend-limits/index.ts';
import type {SlotLeases, SlotUse} from '../slot-leases/index.ts';
import type {Placement} from './placement.ts';
import {
	isCold,
	leasedServerOf,
	prefillBacklogOf,
	recordLifeSign,
	type ServerState,
} from './server-state.ts';
import type {StatedLoad} from './stated-load.ts';

/**
How an attempt at a backend server ended.
*/
export const attemptEnds = [
	'answered',
	/**
	The server returned an error, broke off its response, or did not respond.
	*/
	'failed',
	/**
	The server stated that it did not run the request.
	*/
	'refused',
	/**
	Another server listens at the address.
	*/
	'misdirected',
	/**
	This node canceled the attempt for a reason that is unrelated to the server.
	*/
	'abandoned',
] as const;

/**
The way in which one attempt ended.
*/
export type BackendAttemptEnd = (typeof attemptEnds)[number];

/**
A request in flight at a backend server.
*/
export type BackendAttempt = {
	readonly server: string;
	/**
	Must be called whenever the server sends anything.
	*/
	recordActivity(now: number): void;
	/**
	Must be called with each load that the server states.
	*/
	recordStatedLoad(load: StatedLoad, now: number): void;
	/**
	Must be called for each chunk of a stream except the first, with the time since the previous chunk.
	*/
	recordChunkInterval(intervalMs: number, now: number): void;
	/**
	Must be called when the first event of a stream or the complete response arrives.
	*/
	recordFirstEvent(now: number): void;
	end(how: BackendAttemptEnd, now: number): void;
};

/**
Broadcasts to the other nodes of the region how many tokens of this node's long prompts a server has not processed yet.
*/
export type PrefillBacklogSender = (server: string, tokens: number) => void;

/**
Dependencies of an attempt.
*/
export type AttemptOptions = {
	readonly sendPrefillBacklog: PrefillBacklogSender;
	/**
	Whether a server is known to hold a prompt part in its cache.
	*/
	readonly isCached: (server: string, part: string) => boolean;
	readonly backendLimits: Pick<BackendLimits, 'recordSend'>;
	readonly slotLeases?: Pick<SlotLeases, 'recordSend' | 'recordEnd'>;
};

/**
Minimum number of unprocessed tokens of a prompt for which the backlog is broadcast. Shorter prompts are frequent and delay
the requests behind them by only some tens of milliseconds.
*/
export const minimumBroadcastTokens = 2500;

// Weight of the latest outcome in the moving average of a server's failure rate.
const failureWeight = 0.1;

// Weight of the latest chunk in the moving average of a server's chunk interval. With 50 streams in flight, the average
// follows a change within a second.
const chunkIntervalWeight = 0.02;

// Number of earlier requests to a cold server whose send times are retained.
const coldRequestHistory = 100;

/**
Registers a request in the state of its server until the attempt ends.
*/
export const beginAttempt = (
	state: ServerState,
	placement: Placement,
	now: number,
	{
		sendPrefillBacklog: send,
		isCached,
		backendLimits,
		slotLeases,
	}: AttemptOptions,
): BackendAttempt => {
	const changeBroadcastTokens = (change: number) => {
		if (change === 0) {
			return;
		}

		state.broadcastTokens += change;
		send(state.known.server.id, state.broadcastTokens);
	};

	backendLimits.recordSend(state.incarnationId, now);
	slotLeases?.recordSend(leasedServerOf(state), now);
	const pendingRequest = {since: now};
	const tokens = tokensToPrefill(state, placement, isCached);
	const tokensToBroadcast = tokens >= minimumBroadcastTokens ? tokens : 0;
	const hadNoPrefillBacklog = prefillBacklogOf(state, now) === 0;
	state.inFlight += 1;
	state.crashSuspects += placement.isIsolated ? 1 : 0;
	state.serviceInFlight.add(1, now);
	state.pendingTokens += tokens;
	state.pending.add(pendingRequest);
	changeBroadcastTokens(tokensToBroadcast);
	if (placement.sharedPart) {
		state.promptCache.use(placement.sharedPart);
	}

	if (isCold(state, now)) {
		state.coldSentAt = [...state.coldSentAt.slice(-coldRequestHistory), now];
	}

	let isEnded = false;
	const removePending = () => {
		if (!state.pending.delete(pendingRequest)) {
			return;
		}

		state.pendingTokens -= tokens;
		changeBroadcastTokens(-tokensToBroadcast);
	};

	return {
		server: state.known.server.id,
		recordActivity(at) {
			recordLifeSign(state, at);
		},
		recordStatedLoad(load, at) {
			state.statedSlowdown =
				load.slowdown === undefined ? undefined : {factor: load.slowdown, at};
			state.statedLoad = {
				others: Math.max(0, load.running + load.waiting - state.inFlight),
				at,
			};
		},
		recordChunkInterval(intervalMs, at) {
			state.chunkIntervalMs +=
				(intervalMs - state.chunkIntervalMs) * chunkIntervalWeight;
			state.chunkIntervalAt = at;
		},
		recordFirstEvent(at) {
			recordLifeSign(state, at);
			if (hadNoPrefillBacklog && state.pending.has(pendingRequest)) {
				recordSpeed(state, tokens, at - now);
			}

			removePending();
		},
		end(how, at) {
			if (isEnded) {
				return;
			}

			isEnded = true;
			removePending();
			state.inFlight -= 1;
			state.crashSuspects -= placement.isIsolated ? 1 : 0;
			state.serviceInFlight.add(-1, at);
			state.peerRequests.recordDuration(at - now);
			if (lifeSigns.has(how)) {
				recordLifeSign(state, at);
			}

			recordOutcome(state, how);
			slotLeases?.recordEnd(state.incarnationId, slotUses[how], at);
		},
	};
};

// Ends of attempts with a response.
const lifeSigns: ReadonlySet<BackendAttemptEnd> = new Set([
	'answered',
	'refused',
	'misdirected',
]);

// A server that this node has given up on may still be at work on the request.
const slotUses: Readonly<Record<BackendAttemptEnd, SlotUse>> = {
	answered: 'ran',
	failed: 'left',
	refused: 'refused',
	misdirected: 'left',
	abandoned: 'left',
};

const recordSpeed = (
	{prefillSpeed, speed}: ServerState,
	tokens: number,
	milliseconds: number,
): void => {
	const mean = prefillSpeed.tokensPerMs();
	if (mean !== undefined && prefillSpeed.canMeasure(tokens, milliseconds)) {
		speed.record(tokens / milliseconds, mean);
	}

	prefillSpeed.record(tokens, milliseconds);
};

const tokensToPrefill = (
	{promptCache, known}: ServerState,
	{promptTokens, sharedPart}: Placement,
	checkCache: AttemptOptions['isCached'],
): number =>
	sharedPart &&
	(promptCache.has(sharedPart.id) || checkCache(known.server.id, sharedPart.id))
		? promptTokens - sharedPart.tokens
		: promptTokens;

const recordOutcome = (state: ServerState, how: BackendAttemptEnd): void => {
	// Only answers and failures reflect the health of the server.
	if (!(how === 'answered' || how === 'failed')) {
		return;
	}

	const outcome = how === 'failed' ? 1 : 0;
	state.failureRate += (outcome - state.failureRate) * failureWeight;
};
