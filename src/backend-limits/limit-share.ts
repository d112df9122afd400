/**
What one node may send to a limited server.
*/
export type LimitShare = {
	readonly perSecond: number;
	/**
	Burst capacity of the node's token bucket, in requests.
	*/
	readonly burst: number;
};

/**
What a share is calculated from.
*/
export type ShareInputs = {
	/**
	Place of this node in rendezvous order for the server, from 0.
	*/
	readonly rank: number;
	/**
	Reachable nodes that send to the server, this one included.
	*/
	readonly nodes: number;
	/**
	Fraction of all such nodes that is reachable, from 0 to 1.
	*/
	readonly reachableFraction: number;
};

/**
Fraction of a limit for requests. The rest is left for health checks and for reading what engines keep.
*/
export const requestFraction = 0.9;

/**
Fraction of a limit for reading what an engine keeps.
*/
export const enginePollFraction = 0.1;

/**
Factor by which a node exceeds its share while some members are unreachable. Two sides of a partition together stay below 1.25
times the limit.
*/
export const partitionOvercommit = 1.25;

/**
Burst capacity of the token buckets of all nodes together, in milliseconds of the limit.
*/
export const burstWindowMs = 1250;

const noShare: LimitShare = {perSecond: 0, burst: 0};

/**
The share of a node.

Only as many nodes send to a limited server as it takes requests in a second, the first in an order that all derive from
its name. An equal share of each node would let each of them send one request at the same moment, which is many times
the limit where nodes are many, and what nodes without callers have would be left unused.
*/
export const limitShare = (
	perSecond: number,
	{rank, nodes, reachableFraction}: ShareInputs,
): LimitShare => {
	const whole =
		perSecond *
		requestFraction *
		Math.min(1, reachableFraction * partitionOvercommit);
	const senders = Math.min(nodes, Math.max(1, Math.floor(whole)));
	if (rank >= senders) {
		return noShare;
	}

	const own = whole / senders;
	return {perSecond: own, burst: Math.max(1, (own * burstWindowMs) / 1000)};
};
