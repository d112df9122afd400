import type {LocalChoice, Placement} from '../../backends/index.ts';
import type {DisabledMechanisms} from '../../mechanisms/index.ts';
import type {Exchange} from '../exchange.ts';

// A stream whose chunks alone are predicted to take more than this multiple of its remaining time is refused. The estimate of its
// length may be too high by a factor of two.
const hopelessTimeFraction = 2;

/**
Returns by how much a stream exceeds its remaining time, in milliseconds, if it cannot end in time even at the best local server. Only
first attempts are judged, at the node that received the request: what has begun is finished.
*/
export const streamOverrun = (
	{hop}: Exchange,
	{excluded}: Placement,
	local: LocalChoice,
	without: DisabledMechanisms,
): number | undefined => {
	const prediction = local.kind === 'server' ? local.prediction : undefined;
	if (
		!prediction ||
		hop !== undefined ||
		excluded.size > 0 ||
		without.has('stream-refusal')
	) {
		return undefined;
	}

	const {durationMs, firstChunkMs, timeFraction} = prediction;
	const remainingMs = durationMs / timeFraction;
	const chunksMs = durationMs - firstChunkMs;
	return chunksMs > remainingMs * hopelessTimeFraction
		? chunksMs - remainingMs
		: undefined;
};
