/**
Parameters of the failure detector.
*/
export type MembershipParameters = {
	readonly probeIntervalMs: number;
	readonly acknowledgeTimeoutMs: number;
	readonly suspicionTimeoutMs: number;
	/**
	Number of other members that are asked to probe on this node's behalf.
	*/
	readonly indirectProbes: number;
	/**
	One in this many probes goes to another zone. These probes also find members that came back.
	*/
	readonly crossZoneEvery: number;
	readonly deadRetentionMs: number;
	/**
	Maximum number of member updates in one message.
	*/
	readonly maximumUpdates: number;
};

/**
Default parameters, for fleets of a few to some hundreds of nodes.
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
