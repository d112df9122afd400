import {incarnationIdOf, type KnownServer} from '../registry/index.ts';
import type {LeasedServer} from '../slot-leases/index.ts';
import {
	createPeerPrefillBacklog,
	type PeerPrefillBacklog,
} from './peer-prefill-backlog.ts';
import {
	createPromptCacheEstimate,
	type PromptCacheEstimate,
} from './prompt-cache-estimate.ts';
import {createPeerRequests, type PeerRequests} from './peer-requests.ts';
import {createPrefillSpeed, type PrefillSpeed} from './prefill-speed.ts';
import {createServerSpeed, type ServerSpeed} from './server-speed.ts';
import {createSmoothedCount, type SmoothedCount} from './smoothed-count.ts';

/**
Why a backend server receives no new requests. It steers new requests only: those in flight remain.
*/
export const suspicions = [
	/**
	It sends nothing although requests wait for it, and does not answer health checks. It may go on at any moment.
	*/
	'silent',
	/**
	No connection to it can be opened.
	*/
	'unreachable',
] as const;

/**
One reason to suspect a backend server.
*/
export type Suspicion = (typeof suspicions)[number];

/**
State of one backend server as known to this node.
*/
export type ServerState = {
	known: KnownServer;
	/**
	Identifies the incarnation of the server.
	*/
	readonly incarnationId: string;
	/**
	Requests of this node in flight at the server.
	*/
	inFlight: number;
	/**
	Those of them that were in flight at a server when it crashed.
	*/
	crashSuspects: number;
	/**
	Requests of this node in flight at all servers of the service.
	*/
	readonly serviceInFlight: SmoothedCount;
	/**
	Requests of the other nodes at the servers of the service, as they reported them.
	*/
	readonly peerRequests: PeerRequests;
	/**
	Requests of other nodes according to the load that the server stated last, and the time of the statement.
	*/
	statedLoad: {readonly others: number; readonly at: number} | undefined;
	/**
	How many times as long as usual work took at the server when it last stated that.
	*/
	statedSlowdown: {readonly factor: number; readonly at: number} | undefined;
	/**
	Moving average of the time between two chunks of a stream of this server, in milliseconds.
	*/
	chunkIntervalMs: number;
	chunkIntervalAt: number;
	/**
	Tokens of this node's prompts whose responses have not begun.
	*/
	pendingTokens: number;
	/**
	Tokens of the long prompts among them, as last broadcast to the other nodes of the region.
	*/
	broadcastTokens: number;
	/**
	Tokens of long prompts of other nodes that the server has not processed yet.
	*/
	readonly peerPrefillBacklog: PeerPrefillBacklog;
	/**
	Prefill speed of the engines of the service.
	*/
	readonly prefillSpeed: PrefillSpeed;
	/**
	Speed of the server beside the mean of the service.
	*/
	readonly speed: ServerSpeed;
	/**
	Requests whose responses have not begun.
	*/
	readonly pending: Set<{since: number}>;
	lastActivityAt: number;
	/**
	Moving average of failed attempts, from 0 to 1.
	*/
	failureRate: number;
	suspicion: Suspicion | undefined;
	/**
	When the silence began that made the server suspect; undefined once its end was reported.
	*/
	silentSince: number | undefined;
	/**
	Start of the health probe of a silent server; the server stays in use during the probe.
	*/
	probingSince: number | undefined;
	/**
	Time of its last response to a health probe.
	*/
	lastProbeAnswerAt: number;
	isPossiblyCold: boolean;
	probedAt: number;
	/**
	Send times of this node's latest requests to the server while it was cold.
	*/
	coldSentAt: number[];
	readonly promptCache: PromptCacheEstimate;
};

/**
Time without activity after which a server with pending requests is probed, in milliseconds. An engine that processes long
prompts can be silent for longer, so silence alone does not prove a failure.
*/
export const silenceThresholdMs = 600;

/**
Deadline for the answer of a probed server, in milliseconds. Slots of a fully loaded server become free many times within it.
*/
export const probeAnswerDeadlineMs = 500;

/**
Time without bytes on an open response after which a server is ejected, in milliseconds, regardless of its health checks.
*/
export const maximumSilenceMs = 2500;

/**
Time without a byte after which the most impatient callers give up on a stream, in milliseconds.
*/
export const callerPatienceMs = 2000;

/**
Creates the state of a server to which no request has been sent.
*/
export const createServerState = (
	known: KnownServer,
	memoryTokens: number,
	now: number,
	{
		serviceInFlight = createSmoothedCount(),
		prefillSpeed = createPrefillSpeed(),
		peerRequests = createPeerRequests(),
	}: Partial<
		Pick<ServerState, 'serviceInFlight' | 'prefillSpeed' | 'peerRequests'>
	> = {},
): ServerState => ({
	known,
	incarnationId: incarnationIdOf(known.server),
	inFlight: 0,
	crashSuspects: 0,
	serviceInFlight,
	peerRequests,
	statedLoad: undefined,
	statedSlowdown: undefined,
	chunkIntervalMs: 0,
	chunkIntervalAt: -Infinity,
	pendingTokens: 0,
	broadcastTokens: 0,
	peerPrefillBacklog: createPeerPrefillBacklog(),
	prefillSpeed,
	speed: createServerSpeed(),
	pending: new Set(),
	lastActivityAt: now,
	failureRate: 0,
	suspicion: undefined,
	silentSince: undefined,
	probingSince: undefined,
	lastProbeAnswerAt: -Infinity,
	isPossiblyCold: false,
	probedAt: -Infinity,
	coldSentAt: [],
	promptCache: createPromptCacheEstimate(memoryTokens),
});

/**
Maximum age of a stated slowdown, in milliseconds. Other work on the server's machine comes and goes many times a second.
*/
export const slowdownMaximumAgeMs = 500;

/**
Returns how many times as long as usual work takes at a server; 1 without a recent statement.
*/
export const slowdownOf = (
	{statedSlowdown}: ServerState,
	now: number,
): number =>
	statedSlowdown && now - statedSlowdown.at <= slowdownMaximumAgeMs
		? statedSlowdown.factor
		: 1;

/**
Records that a server has sent something, which ends a silence. It proves nothing about whether connections can be opened.
*/
export const recordLifeSign = (state: ServerState, now: number): void => {
	state.lastActivityAt = now;
	if (state.suspicion === 'silent') {
		state.suspicion = undefined;
	}
};

/**
Whether a server is cold or possibly cold.
*/
export const isCold = (
	{isPossiblyCold, known}: ServerState,
	now: number,
): boolean => isPossiblyCold || known.coldUntil > now;

/**
Returns the time without activity of a server with pending requests, in milliseconds; 0 without pending requests.
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
Shifts the times in a state by a jump of this node's clock. Otherwise a server would appear silent for the duration of the
jump, and a cold server would appear warm.
*/
export const shiftTimes = (state: ServerState, ms: number): void => {
	state.lastActivityAt += ms;
	if (state.silentSince !== undefined) {
		state.silentSince += ms;
	}

	for (const request of state.pending) {
		request.since += ms;
	}

	state.coldSentAt = state.coldSentAt.map((at) => at + ms);
	const {coldUntil} = state.known;
	state.known = {...state.known, coldUntil: coldUntil + ms};
};

/**
Returns what leases of a server's slots are about.
*/
export const leasedServerOf = ({
	known: {server},
	incarnationId,
	inFlight,
}: ServerState): LeasedServer => ({
	incarnationId,
	service: server.service,
	slots: server.slots,
	inFlight,
});

/**
Returns the tokens that a server has not processed yet: of this node's prompts and of the long prompts of other nodes.
*/
export const prefillBacklogOf = (
	{pendingTokens, peerPrefillBacklog}: ServerState,
	now: number,
): number => pendingTokens + peerPrefillBacklog.tokens(now);
