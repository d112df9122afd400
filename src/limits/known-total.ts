import {
	admissionFraction,
	limitFractionWhileUnreachable,
	type WindowLimit,
} from './admission-fraction.ts';
import type {Usage} from './usage-window.ts';

/**
Usage of one account as sent to the nodes of a zone: its total over all nodes, and the units admitted in zones that are
unreachable now.
*/
export type AccountTotal = {
	readonly account: string;
	readonly total: Usage;
	readonly admittedByUnreachable: number;
};

/**
Latest total received for an account, with this node's reported usage at that time.
*/
export type KnownTotal = {
	readonly total: AccountTotal;
	/**
	Usage of the account that this node had reported when the total arrived.
	*/
	readonly ownAtReceipt: Usage;
};

/**
Returns a fraction of a limit.
*/
export const scaleLimit = (
	{perSecond, burst}: WindowLimit,
	fraction: number,
): WindowLimit => ({
	perSecond: perSecond * fraction,
	burst: burst * fraction,
});

/**
Returns the usage over all nodes: the latest total plus the change of this node's usage since its own report.
*/
export const currentTotal = (
	known: KnownTotal | undefined,
	own: Usage,
): Usage => {
	if (!known) {
		return own;
	}

	const {total, ownAtReceipt} = known;
	return {
		requested: Math.max(
			own.requested,
			total.total.requested + own.requested - ownAtReceipt.requested,
		),
		admitted: Math.max(
			own.admitted,
			total.total.admitted + own.admitted - ownAtReceipt.admitted,
		),
	};
};

/**
Returns the fraction of an account's requests that an isolated node admits. The node uses the share of the limit that it had before
it became isolated, but at least an equal share. Otherwise, nodes that are isolated at the same time would use the limit many times
over.
*/
export const isolatedAdmissionFraction = (
	limit: WindowLimit,
	known: KnownTotal | undefined,
	own: Usage,
	{windowMs, nodes}: {readonly windowMs: number; readonly nodes: number},
): number => {
	const total = known?.total.total.admitted ?? 0;
	const ownFraction =
		known && total > 0 ? known.ownAtReceipt.admitted / total : 0;
	const share = Math.min(1, Math.max(ownFraction, 1 / nodes));
	return admissionFraction(
		scaleLimit(limit, share * limitFractionWhileUnreachable),
		{total: own, admittedByUnreachable: 0},
		windowMs,
	);
};
