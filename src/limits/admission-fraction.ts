import type {Usage} from './usage-window.ts';

/**
A limit over all nodes together, in its unit.
*/
export type WindowLimit = {
	readonly perSecond: number;
	readonly burst: number;
};

/**
What is known of an account's usage.
*/
export type KnownUsage = {
	/**
	Over all nodes, as far as known.
	*/
	readonly total: Usage;
	/**
	The part of it that was let through in zones that are silent now, as they told it last.
	*/
	readonly admittedByUnreachable: number;
};

// Time constant of the correction towards the window's limit, in seconds. Counts are up to a second old, so a faster correction would
// oscillate.
const correctionSeconds = 2;

// What the sum over a window is steered to, by what the limit allows in it: it settles above, for counts are late and
// long requests come in bunches. With less, requests of accounts below their limit would be refused.
const targetPart = 0.92;

/**
The part of a limit that counts while some of those who used it are silent: they may be gone, or cut off and go on. Of 300
plays of 12 nodes with a hot account and a cut, the most in a window was 1.94 times what is allowed at worst with 0.875,
1.63 with this. Where a region has lost its power the others refuse that much of its callers the earlier.
*/
export const limitFractionWhileUnreachable = 0.8;

/**
The part of an account's requests that may be let through so that what all nodes let through in a window stays at the
limit, from 0 to 1.

One part for all nodes, not a bucket in each: a long prompt is more than what one of many nodes may let through in many
seconds, so buckets would refuse requests of accounts below their limit.

The window's length is in milliseconds.
*/
export const admissionFraction = (
	limit: WindowLimit,
	known: KnownUsage,
	windowMs: number,
): number => {
	const {total, admittedByUnreachable} = known;
	const scale = admittedByUnreachable > 0 ? limitFractionWhileUnreachable : 1;
	const seconds = windowMs / 1000;
	const perSecond = limit.perSecond * scale;
	const target = (perSecond * seconds + limit.burst * scale) * targetPart;
	const correction = (target - total.admitted) / correctionSeconds;
	const rate = perSecond - admittedByUnreachable / seconds + correction;
	return total.requested <= rate ? 1 : Math.max(0, rate / total.requested);
};
