/**
Periods and bounds of the failure detector, in milliseconds unless said otherwise.
*/
export type MembershipParameters = {
	readonly probeIntervalMs: number;
	readonly acknowledgeTimeoutMs: number;
	readonly suspicionTimeoutMs: number;
	/**
	Other members asked to probe on this node's behalf.
	*/
	readonly indirectProbes: number;
	/**
	One probe in this many goes to another zone; it also finds members that came back.
	*/
	readonly crossZoneEvery: number;
	readonly deadRetentionMs: number;
	/**
	Most member statements in one message.
	*/
	readonly maximumUpdates: number;
};

/**
Parameters that suit fleets from a few to some hundreds of nodes.
*/
export const defaultMembershipParameters: MembershipParameters = {
	probeIntervalMs: 700,
	acknowledgeTimeoutMs: 300,
	suspicionTimeoutMs: 2500,
	indirectProbes: 2,
	crossZoneEvery: 3,
	deadRetentionMs: 7_200_000,
	maximumUpdates: 6,
};
