import type {Usage} from './usage-window.ts';

/**
A limit for all nodes together, in its unit.
*/
export type WindowLimit = {
	readonly perSecond: number;
	readonly burst: number;
};

/**
Usage of an account as known to this node.
*/
export type KnownUsage = {
	/**
	Usage over all nodes, as far as known.
	*/
	readonly total: Usage;
	/**
	Units admitted in zones that are unreachable now, according to their last reports.
	*/
	readonly admittedByUnreachable: number;
};

// Time constant of the correction towards the window's limit, in seconds. Counts are up to one second old, so a faster correction
// would oscillate.
const correctionSeconds = 2;

// Target of the control loop, as a fraction of what the limit allows in a window. The actual sum settles above the target, because
// counts are delayed and long requests arrive in bursts. A lower target would refuse requests of accounts below their limit.
const targetFraction = 0.92;

/**
Fraction of a limit that is used while some zones that used it are unreachable: they may be down, or partitioned and still
admitting requests. In 300 simulations of 12 nodes with a hot account and a partition, the maximum in a window was 1.94 times the
allowed amount with 0.875, and 1.63 times with 0.8. If a region is down, the other regions refuse its callers earlier by the
remaining fraction.
*/
export const limitFractionWhileUnreachable = 0.8;

/**
Returns the fraction of an account's requests to admit, from 0 to 1, so that all nodes together stay at the limit in a window.

All nodes apply the same fraction instead of a bucket for each node. A long prompt exceeds what one of many nodes may admit within
many seconds, so buckets would refuse requests of accounts below their limit.

`windowMs` is the length of the window, in milliseconds.
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
	const target = (perSecond * seconds + limit.burst * scale) * targetFraction;
	const correction = (target - total.admitted) / correctionSeconds;
	const rate = perSecond - admittedByUnreachable / seconds + correction;
	return total.requested <= rate ? 1 : Math.max(0, rate / total.requested);
};
