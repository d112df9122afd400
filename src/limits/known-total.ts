import {
	admissionFraction,
	limitFractionWhileUnreachable,
	type WindowLimit,
} from './admission-fraction.ts';
import type {Usage} from './usage-window.ts';

/**
What the nodes of a zone are told of one account: its usage over all nodes, and what was let through in zones that are
silent now.
*/
export type AccountTotal = {
	readonly account: string;
	readonly total: Usage;
	readonly admittedByUnreachable: number;
};

/**
What was told of an account, and what this node had told of it by then.
*/
export type KnownTotal = {
	readonly total: AccountTotal;
	/**
	What this node had told of the account when the total came.
	*/
	readonly ownAtReceipt: Usage;
};

/**
A part of a limit.
*/
export const scaleLimit = (
	{perSecond, burst}: WindowLimit,
	part: number,
): WindowLimit => ({
	perSecond: perSecond * part,
	burst: burst * part,
});

/**
The usage of all nodes: what was told, and what this node has added since it told its own part of it.
*/
export const currentTotal = (
	told: KnownTotal | undefined,
	own: Usage,
): Usage => {
	if (!told) {
		return own;
	}

	const {total, ownAtReceipt} = told;
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
The part of an account's requests that a node lets through that hears of no other. It keeps to the part of the limit that
was its own when it last did, and to an equal share where it had less: nodes that are cut off at the same time would
otherwise use the limit many times over.
*/
export const isolatedAdmissionFraction = (
	limit: WindowLimit,
	told: KnownTotal | undefined,
	own: Usage,
	{windowMs, nodes}: {readonly windowMs: number; readonly nodes: number},
): number => {
	const total = told?.total.total.admitted ?? 0;
	const ownPart = told && total > 0 ? told.ownAtReceipt.admitted / total : 0;
	const share = Math.min(1, Math.max(ownPart, 1 / nodes));
	return admissionFraction(
		scaleLimit(limit, share * limitFractionWhileUnreachable),
		{total: own, admittedByUnreachable: 0},
		windowMs,
	);
};
