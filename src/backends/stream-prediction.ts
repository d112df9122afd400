import type {Placement} from './placement.ts';
import {
	chunkIntervalOf,
	prefillBacklogOf,
	type ServerState,
} from './server-state.ts';

/**
Predicted course of a stream at one server.
*/
export type StreamPrediction = {
	/**
	Time until the first chunk, in milliseconds.
	*/
	readonly firstChunkMs: number;
	readonly durationMs: number;
	/**
	The duration as a fraction of the remaining time of the request.
	*/
	readonly timeFraction: number;
};

/**
Predicts the course of a stream at a server. Returns undefined if its length or its deadline is unknown.
*/
export const predictStream = (
	state: ServerState,
	{expectedTokens, expiresAt, promptTokens}: Placement,
	now: number,
): StreamPrediction | undefined => {
	const chunks =
		expectedTokens === undefined
			? undefined
			: state.chunkLength.chunksOf(expectedTokens);
	if (chunks === undefined || expiresAt === undefined) {
		return undefined;
	}

	const tokensAhead = prefillBacklogOf(state, now) + promptTokens;
	const tokensPerMs = state.prefillSpeed.tokensPerMs() ?? Infinity;
	const firstChunkMs = tokensAhead / tokensPerMs;
	const durationMs = firstChunkMs + chunks * chunkIntervalOf(state, now);
	const timeFraction = durationMs / Math.max(1, expiresAt - now);
	return {firstChunkMs, durationMs, timeFraction};
};
