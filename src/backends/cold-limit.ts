/**
Bound on the requests that all nodes together send to a cold backend server in any second.
*/
export type ColdBound = {
	readonly requestsPerSecond: number;
	/**
	Factor by which the rate may be exceeded.
	*/
	readonly overrun: number;
	/**
	Requests allowed in addition to the rate in any second.
	*/
	readonly slack: number;
};

/**
Fraction of the bound that is used. The remainder covers nodes that are not known to all others yet.
*/
export const usedFraction = 0.75;

/**
Maximum number of nodes that send to one cold backend server. With more nodes, each share would be less than one request per
second.
*/
export const maximumColdSenders = 4;

const secondMs = 1000;
// Added to the one-second window, because requests may arrive closer together than they were sent.
const arrivalJitterMs = 150;

/**
Returns the number of requests that one node may send to a cold server within a second.

The first nodes in rendezvous order for the server are its senders. The order covers all nodes of the region that were ever
known, including dead ones, because an unreachable node may still be sending. If the bound is less than one request per sender,
fewer nodes send: rounding fractional shares down would leave the server without requests.

@param bound Bound for all nodes together.
@param rank Number of nodes that precede this one in the order.
@param nodes Number of all nodes, including this one.
*/
export const coldShare = (
	bound: ColdBound,
	rank: number,
	nodes: number,
): number => {
	const total = bound.requestsPerSecond * bound.overrun + bound.slack;
	const used = Math.max(total * usedFraction, Math.min(1, Math.floor(total)));
	const senders = Math.min(nodes, maximumColdSenders, Math.floor(used));
	return rank < senders ? Math.floor(used / senders) : 0;
};

/**
Whether a further request is within the share, given the send times of the latest requests.
*/
export const isWithinColdShare = (
	sentAt: readonly number[],
	share: number,
	now: number,
): boolean =>
	sentAt.filter((at) => now - at < secondMs + arrivalJitterMs).length < share;
