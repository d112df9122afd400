import type {KnownServer} from '../registry/index.ts';
import {createPromptMemory, type PromptMemory} from './prompt-memory.ts';

/**
What this node knows of one backend server.
*/
export type ServerState = {
	known: KnownServer;
	/**
	Requests of this node that are under way at it.
	*/
	inFlight: number;
	/**
	Tokens of prompts that this node sent and that have not begun to be answered.
	*/
	pendingTokens: number;
	/**
	Requests that have not begun to be answered.
	*/
	readonly pending: Set<{readonly since: number}>;
	lastHeardAt: number;
	/**
	From 0 to 1, the latest outcomes counting most.
	*/
	failureRate: number;
	isSuspect: boolean;
	isDistrusted: boolean;
	probedAt: number;
	/**
	When this node sent it requests while it was cold.
	*/
	coldSentAt: number[];
	readonly memory: PromptMemory;
};

/**
A server that owes an answer and has sent nothing for so long counts as silent, in milliseconds.
Engines send events of other requests many times in this time.
*/
export const silenceMs = 800;

/**
Builds the state of a server that was sent nothing yet.
*/
export const createServerState = (
	known: KnownServer,
	memoryTokens: number,
	now: number,
): ServerState => ({
	known,
	inFlight: 0,
	pendingTokens: 0,
	pending: new Set(),
	lastHeardAt: now,
	failureRate: 0,
	isSuspect: false,
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
Whether a server owes answers and has given no sign of life for `silenceMs`.
*/
export const isSilent = (
	{pending, lastHeardAt}: ServerState,
	now: number,
): boolean => {
	let oldest = now;
	for (const {since} of pending) {
		oldest = Math.min(oldest, since);
	}

	return now - Math.max(oldest, lastHeardAt) > silenceMs;
};
