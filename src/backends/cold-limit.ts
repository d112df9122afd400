import {rendezvousOrder} from '../shared/index.ts';

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
export const usedPart = 0.75;

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

The nodes that may send are drawn by hashing over all nodes of the region that were ever heard of,
dead ones included: a node that cannot be heard may still be sending.
*/
export const coldShare = (
	bound: ColdBound,
	server: string,
	self: string,
	nodes: readonly string[],
): number => {
	const senders = rendezvousOrder(server, nodes, (node) => node).slice(
		0,
		maximumColdSenders,
	);
	if (!senders.includes(self)) {
		return 0;
	}

	const whole = bound.requestsPerSecond * bound.overrun + bound.slack;
	return Math.floor((whole * usedPart) / senders.length);
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
