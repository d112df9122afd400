/**
Periods and bounds of the failure detector, in milliseconds unless said otherwise.
*/
export type MembershipParameters = {
	readonly probeInterval: number;
	readonly acknowledgeTimeout: number;
	readonly suspicionTimeout: number;
	/**
	Other members asked to probe on this node's behalf.
	*/
	readonly indirectProbes: number;
	/**
	One probe in this many goes to another zone; it also finds members that came back.
	*/
	readonly crossZoneEvery: number;
	readonly forgetDeadAfter: number;
	/**
	Most member statements in one message.
	*/
	readonly maximumUpdates: number;
};

/**
Parameters that suit fleets from a few to some hundreds of nodes.
*/
export const defaultMembershipParameters: MembershipParameters = {
	probeInterval: 700,
	acknowledgeTimeout: 300,
	suspicionTimeout: 2500,
	indirectProbes: 2,
	crossZoneEvery: 3,
	forgetDeadAfter: 7_200_000,
	maximumUpdates: 6,
};
