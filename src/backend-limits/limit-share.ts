/**
Share of one node in the limit of a server.
*/
export type LimitShare = {
	readonly perSecond: number;
	/**
	Burst capacity of the node's token bucket, in requests.
	*/
	readonly burst: number;
};

/**
Inputs of `limitShare`.
*/
export type ShareInputs = {
	/**
	Rank of this node in rendezvous order for the server, starting at 0.
	*/
	readonly rank: number;
	/**
	Number of reachable nodes that send to the server, including this one.
	*/
	readonly nodes: number;
	/**
	Fraction of all such nodes that is reachable, from 0 to 1.
	*/
	readonly reachableFraction: number;
};

/**
Fraction of a limit for requests. The remainder is reserved for health checks and for polls of engine caches.
*/
export const requestFraction = 0.9;

/**
Fraction of a limit for polls of an engine's cache.
*/
export const enginePollFraction = 0.1;

/**
Factor by which a node exceeds its share while some nodes are unreachable. The two sides of a partition together stay below 1.25
times the limit.
*/
export const partitionOvercommit = 1.25;

/**
Burst capacity of the token buckets of all nodes together, in milliseconds of the limit.
*/
export const burstWindowMs = 1250;

const noShare: LimitShare = {perSecond: 0, burst: 0};

/**
Returns the share of a node.

The number of nodes that send to a limited server is at most the number of requests that it accepts per second; the first nodes in
rendezvous order for the server are selected. With an equal share for each of many nodes, all nodes could send one request at the
same time, which exceeds the limit many times over, and the shares of nodes without callers would be unused.
*/
export const limitShare = (
	perSecond: number,
	{rank, nodes, reachableFraction}: ShareInputs,
): LimitShare => {
	const total =
		perSecond *
		requestFraction *
		Math.min(1, reachableFraction * partitionOvercommit);
	const senders = Math.min(nodes, Math.max(1, Math.floor(total)));
	if (rank >= senders) {
		return noShare;
	}

	const perSender = total / senders;
	return {
		perSecond: perSender,
		burst: Math.max(1, (perSender * burstWindowMs) / 1000),
	};
};
