import {lifeOf, type KnownServer} from '../registry/index.ts';
import {createOthersReading, type OthersReading} from './others-reading.ts';
import {createPromptMemory, type PromptMemory} from './prompt-memory.ts';
import {createReadingSpeed, type ReadingSpeed} from './reading-speed.ts';
import {createSmoothedCount, type SmoothedCount} from './smoothed-count.ts';

/**
What this node knows of one backend server.
*/
export type ServerState = {
	known: KnownServer;
	/**
	Names the life of the server.
	*/
	readonly life: string;
	/**
	Requests of this node that are under way at it.
	*/
	inFlight: number;
	/**
	Those among them that were at a server that crashed.
	*/
	suspects: number;
	/**
	This node's requests that are under way at all servers of the service.
	*/
	readonly ownOfService: SmoothedCount;
	/**
	Requests of other nodes by what the server said last, and when it said so.
	*/
	stated: {readonly others: number; readonly at: number} | undefined;
	/**
	Milliseconds between two pieces of a stream of this server, the latest ones counting most.
	*/
	paceMs: number;
	pacedAt: number;
	/**
	Tokens of prompts that this node sent and that have not begun to be answered.
	*/
	pendingTokens: number;
	/**
	Tokens of long prompts among them, as this node tells the others of its region.
	*/
	toldTokens: number;
	/**
	Tokens of long prompts of other nodes that are still to be read.
	*/
	readonly othersReading: OthersReading;
	/**
	How fast engines of the service read.
	*/
	readonly readingSpeed: ReadingSpeed;
	/**
	Requests that have not begun to be answered.
	*/
	readonly pending: Set<{since: number}>;
	lastHeardAt: number;
	/**
	From 0 to 1, the latest outcomes counting most.
	*/
	failureRate: number;
	isSuspect: boolean;
	/**
	When it was found silent, while it is asked whether it lives; it stays in use meanwhile.
	*/
	doubtedAt: number | undefined;
	/**
	When it last answered a question for its health.
	*/
	vouchedAt: number;
	isDistrusted: boolean;
	probedAt: number;
	/**
	When this node sent it requests while it was cold.
	*/
	coldSentAt: number[];
	readonly memory: PromptMemory;
};

/**
A server that owes an answer and has sent nothing for so long is asked whether it lives, in
milliseconds. An engine that reads long prompts sends nothing to a node for longer than that, so
silence alone proves nothing.
*/
export const silenceMs = 600;

/**
How long a silent server has to answer, in milliseconds: a slot of a full server becomes free many
times in this time.
*/
export const doubtMs = 500;

/**
Time without bytes on an open response after which a server is ejected, in milliseconds, whatever its health checks
say. Callers give up on a stream after about two seconds of silence.
*/
export const longestSilenceMs = 2500;

/**
Builds the state of a server that was sent nothing yet.
*/
export const createServerState = (
	known: KnownServer,
	memoryTokens: number,
	now: number,
	{
		ownOfService = createSmoothedCount(),
		readingSpeed = createReadingSpeed(),
	}: Partial<Pick<ServerState, 'ownOfService' | 'readingSpeed'>> = {},
): ServerState => ({
	known,
	life: lifeOf(known.server),
	inFlight: 0,
	suspects: 0,
	ownOfService,
	stated: undefined,
	paceMs: 0,
	pacedAt: -Infinity,
	pendingTokens: 0,
	toldTokens: 0,
	othersReading: createOthersReading(),
	readingSpeed,
	pending: new Set(),
	lastHeardAt: now,
	failureRate: 0,
	isSuspect: false,
	doubtedAt: undefined,
	vouchedAt: -Infinity,
	isDistrusted: false,
	probedAt: -Infinity,
	coldSentAt: [],
	memory: createPromptMemory(memoryTokens),
});

/**
Whether a server is cold, or may be for all that is known.
*/
export const isCold = (
	{isDistrusted, known}: ServerState,
	now: number,
): boolean => isDistrusted || known.coldUntil > now;

/**
How long a server has owed answers without a sign of life, in milliseconds.
*/
export const silentFor = (
	{pending, lastHeardAt}: ServerState,
	now: number,
): number => {
	let oldest = now;
	for (const {since} of pending) {
		oldest = Math.min(oldest, since);
	}

	return now - Math.max(oldest, lastHeardAt);
};

/**
Moves what is counted by this node's own watching on by a leap of its clock. A server would otherwise seem silent for the
whole of it, and a cold one warm.
*/
export const shiftTimes = (state: ServerState, ms: number): void => {
	state.lastHeardAt += ms;
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
export const readingOf = (
	{pendingTokens, othersReading}: ServerState,
	now: number,
): number => pendingTokens + othersReading.tokens(now);
