/**
Bounds what all nodes together send to a cold backend server in any second.
*/
export type ColdBound = {
	readonly requestsPerSecond: number;
	/**
	The rate may be passed by this factor.
	*/
	readonly overrun: number;
	/**
	Requests on top of the rate in any second.
	*/
	readonly slack: number;
};

/**
Part of the bound that is used; the rest covers nodes that another has not heard of yet.
*/
export const usedFraction = 0.75;

/**
The most nodes that send to one cold backend server. With more, each one's share would be less than
a request a second.
*/
export const maximumColdSenders = 4;

const secondMs = 1000;
// Requests that leave within a second may arrive a little closer together.
const arrivalSpreadMs = 150;

/**
The requests that one node may send to a cold server within a second.

The first nodes send in an order that all derive from the server's name, over all nodes of the region that were ever heard
of, dead ones included: a node that cannot be heard may still be sending. A server that bears less than one request of each
of them has fewer senders; parts below one would leave it without any.

@param bound What all nodes together may send.
@param rank Nodes that go before this one.
@param nodes How many nodes there are, this one included.
*/
export const coldShare = (
	bound: ColdBound,
	rank: number,
	nodes: number,
): number => {
	const whole = bound.requestsPerSecond * bound.overrun + bound.slack;
	const used = Math.max(whole * usedFraction, Math.min(1, Math.floor(whole)));
	const senders = Math.min(nodes, maximumColdSenders, Math.floor(used));
	return rank < senders ? Math.floor(used / senders) : 0;
};

/**
Whether one more request fits into the share, given the times of the latest ones.
*/
export const isWithinColdShare = (
	sentAt: readonly number[],
	share: number,
	now: number,
): boolean =>
	sentAt.filter((at) => now - at < secondMs + arrivalSpreadMs).length < share;
