/**
What one node may send to a limited server.
*/
export type LimitShare = {
	readonly perSecond: number;
	/**
	Requests that it may send at once after a rest.
	*/
	readonly most: number;
};

/**
What a share is reckoned from.
*/
export type ShareView = {
	/**
	Nodes that go before this one in the order for the server.
	*/
	readonly rank: number;
	/**
	Nodes that send to the server and can be heard, this one included.
	*/
	readonly nodes: number;
	/**
	The part of all nodes that can be heard, from 0 to 1.
	*/
	readonly heardPart: number;
};

/**
The part of a limit that requests get. The rest is left for health checks and for reading what engines keep.
*/
export const requestPart = 0.9;

/**
The part of a limit that is left for reading what an engine keeps.
*/
export const readingPart = 0.1;

/**
By so much nodes that cannot hear some others go beyond their part of a limit: those may be cut off and use theirs, or be
gone. The two sides of a cut together send a quarter more than one.
*/
export const unheardMargin = 1.25;

/**
A rest of so long is made up for, in milliseconds. All nodes together may send that much at once.
*/
export const restMs = 1250;

const noShare: LimitShare = {perSecond: 0, most: 0};

/**
The share of a node.

Only as many nodes send to a limited server as it takes requests in a second, the first in an order that all derive from
its name. An equal share of each node would let each of them send one request at the same moment, which is many times
the limit where nodes are many, and what nodes without callers have would be left unused.
*/
export const limitShare = (
	perSecond: number,
	{rank, nodes, heardPart}: ShareView,
): LimitShare => {
	const whole =
		perSecond * requestPart * Math.min(1, heardPart * unheardMargin);
	const senders = Math.min(nodes, Math.max(1, Math.floor(whole)));
	if (rank >= senders) {
		return noShare;
	}

	const own = whole / senders;
	return {perSecond: own, most: Math.max(1, (own * restMs) / 1000)};
};
