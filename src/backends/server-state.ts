import {incarnationIdOf, type KnownServer} from '../registry/index.ts';
import {
	createPeerPrefillBacklog,
	type PeerPrefillBacklog,
} from './peer-prefill-backlog.ts';
import {
	createPromptCacheEstimate,
	type PromptCacheEstimate,
} from './prompt-cache-estimate.ts';
import {createPrefillSpeed, type PrefillSpeed} from './prefill-speed.ts';
import {createSmoothedCount, type SmoothedCount} from './smoothed-count.ts';

/**
What this node knows of one backend server.
*/
export type ServerState = {
	known: KnownServer;
	/**
	Names the life of the server.
	*/
	readonly incarnationId: string;
	/**
	Requests of this node that are under way at it.
	*/
	inFlight: number;
	/**
	Those among them that were at a server that crashed.
	*/
	crashSuspects: number;
	/**
	This node's requests that are under way at all servers of the service.
	*/
	readonly serviceInFlight: SmoothedCount;
	/**
	Requests of other nodes by what the server said last, and when it said so.
	*/
	statedLoad: {readonly others: number; readonly at: number} | undefined;
	/**
	Milliseconds between two pieces of a stream of this server, the latest ones counting most.
	*/
	chunkIntervalMs: number;
	chunkIntervalAt: number;
	/**
	Tokens of prompts that this node sent and that have not begun to be answered.
	*/
	pendingTokens: number;
	/**
	Tokens of long prompts among them, as this node tells the others of its region.
	*/
	broadcastTokens: number;
	/**
	Tokens of long prompts of other nodes that are still to be read.
	*/
	readonly peerPrefillBacklog: PeerPrefillBacklog;
	/**
	How fast engines of the service read.
	*/
	readonly prefillSpeed: PrefillSpeed;
	/**
	Requests that have not begun to be answered.
	*/
	readonly pending: Set<{since: number}>;
	lastActivityAt: number;
	/**
	From 0 to 1, the latest outcomes counting most.
	*/
	failureRate: number;
	isSuspect: boolean;
	/**
	When it was found silent, while it is asked whether it lives; it stays in use meanwhile.
	*/
	probingSince: number | undefined;
	/**
	When it last answered a question for its health.
	*/
	lastProbeAnswerAt: number;
	isPossiblyCold: boolean;
	probedAt: number;
	/**
	When this node sent it requests while it was cold.
	*/
	coldSentAt: number[];
	readonly promptCache: PromptCacheEstimate;
};

/**
A server that owes an answer and has sent nothing for so long is asked whether it lives, in
milliseconds. An engine that reads long prompts sends nothing to a node for longer than that, so
silence alone proves nothing.
*/
export const silenceThresholdMs = 600;

/**
How long a silent server has to answer, in milliseconds: a slot of a full server becomes free many
times in this time.
*/
export const probeAnswerDeadlineMs = 500;

/**
Time without bytes on an open response after which a server is ejected, in milliseconds, whatever its health checks
say. Callers give up on a stream after about two seconds of silence.
*/
export const maximumSilenceMs = 2500;

/**
Builds the state of a server that was sent nothing yet.
*/
export const createServerState = (
	known: KnownServer,
	memoryTokens: number,
	now: number,
	{
		serviceInFlight = createSmoothedCount(),
		prefillSpeed = createPrefillSpeed(),
	}: Partial<Pick<ServerState, 'serviceInFlight' | 'prefillSpeed'>> = {},
): ServerState => ({
	known,
	incarnationId: incarnationIdOf(known.server),
	inFlight: 0,
	crashSuspects: 0,
	serviceInFlight,
	statedLoad: undefined,
	chunkIntervalMs: 0,
	chunkIntervalAt: -Infinity,
	pendingTokens: 0,
	broadcastTokens: 0,
	peerPrefillBacklog: createPeerPrefillBacklog(),
	prefillSpeed,
	pending: new Set(),
	lastActivityAt: now,
	failureRate: 0,
	isSuspect: false,
	probingSince: undefined,
	lastProbeAnswerAt: -Infinity,
	isPossiblyCold: false,
	probedAt: -Infinity,
	coldSentAt: [],
	promptCache: createPromptCacheEstimate(memoryTokens),
});

/**
Whether a server is cold, or may be for all that is known.
*/
export const isCold = (
	{isPossiblyCold, known}: ServerState,
	now: number,
): boolean => isPossiblyCold || known.coldUntil > now;

/**
How long a server has owed answers without a sign of life, in milliseconds.
*/
export const silentFor = (
	{pending, lastActivityAt}: ServerState,
	now: number,
): number => {
	let oldest = now;
	for (const {since} of pending) {
		oldest = Math.min(oldest, since);
	}

	return now - Math.max(oldest, lastActivityAt);
};

/**
Moves what is counted by this node's own watching on by a leap of its clock. A server would otherwise seem silent for the
whole of it, and a cold one warm.
*/
export const shiftTimes = (state: ServerState, ms: number): void => {
	state.lastActivityAt += ms;
	for (const waiting of state.pending) {
		waiting.since += ms;
	}

	state.coldSentAt = state.coldSentAt.map((at) => at + ms);
	const {coldUntil} = state.known;
	state.known = {...state.known, coldUntil: coldUntil + ms};
};

/**
Tokens that a server has still to read, of this node's prompts and of the long ones of others.
*/
export const prefillBacklogOf = (
	{pendingTokens, peerPrefillBacklog}: ServerState,
	now: number,
): number => pendingTokens + peerPrefillBacklog.tokens(now);
