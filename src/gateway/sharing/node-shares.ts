import type {Mesh} from '../../mesh/index.ts';
import type {Service} from '../../routes/index.ts';
import {createDerived, createNodeOrder} from '../../shared/index.ts';

/**
This node's part of what all nodes share.
*/
export type NodeShares = {
	/**
	Whether this node had time to hear of the others.
	*/
	hasSettled(): boolean;
	/**
	Ids of all nodes of the region that were ever heard of, this one included.
	*/
	knownNodeIds(): readonly string[];
	/**
	How many of them go before this one in the order for a backend server.
	*/
	senderRank(server: string): number;
	/**
	How many nodes of the region are taken to serve now, this one included.
	*/
	nodesServing(): number;
	/**
	Nodes of all regions that share the slack of the retry budget; infinite while none may use it.
	*/
	retrySharingNodes(): number;
	/**
	Connections that this node may hold to one backend server of a service.
	*/
	connectionsTo(service: Service | undefined, server: string): ConnectionShare;
};

/**
A node's part of the connections that a backend server takes.
*/
export type ConnectionShare = {
	readonly maximum: number;
	/**
	Whether they rest between two requests; where they may not, each request opens one and closes it.
	*/
	readonly isPersistent: boolean;
};

/**
What shares are reckoned from.
*/
export type NodeSharesOptions = {
	readonly self: string;
	readonly localRegion: string;
	readonly regionOf: (availabilityZone: string) => string;
	readonly mesh: Mesh;
	readonly clock: () => number;
};

/**
How long after its start a node has heard of the others, in milliseconds: a few heartbeats. What is
shared among nodes is used sparingly until then, for after a stop of all nodes none knows another.
*/
export const settlingMs = 2500;

/**
The retry slack is shared among so many nodes at the least, so that nodes that cannot hear of each
other do not each take all of it.
*/
export const minimumSharingNodes = 8;

/**
Nodes of a region that a node takes for granted until it had time to hear of the others. After a
stop of all nodes each would otherwise send as much as the region can take.
*/
export const assumedNodes = 3;

/**
Part of the connections of a backend server that all nodes together use.
*/
export const connectionFraction = 0.8;

// Connections to a backend server that states no bound.
const unboundedConnections = 128;

// Connections to a backend server that a node has at the least, however many nodes share them: one that is busy holds up
// what comes next.
const fewestConnections = 2;

/**
Builds the shares of a node that starts now.
*/
export const createNodeShares = ({
	self,
	localRegion,
	regionOf,
	mesh,
	clock,
}: NodeSharesOptions): NodeShares => {
	const startedAt = clock();
	const hasSettled = () => clock() - startedAt > settlingMs;
	const knownNodeIds = createDerived(mesh.others, (others) => [
		self,
		...others
			.filter(
				({availabilityZone}) => regionOf(availabilityZone) === localRegion,
			)
			.map(({id}) => id),
	]);

	const order = createNodeOrder(self, knownNodeIds);

	return {
		hasSettled,
		knownNodeIds,
		senderRank: order.rank,
		nodesServing: () =>
			Math.max(
				1 + mesh.usableIn(localRegion).length,
				hasSettled() ? 1 : assumedNodes,
			),
		// After a stop of all nodes each knows itself only: none takes of the slack before it had time to
		// hear of the others, for all of them together could take it many times over.
		retrySharingNodes: () =>
			hasSettled()
				? Math.max(1 + mesh.others().length, minimumSharingNodes)
				: Infinity,
		connectionsTo(service, server) {
			const bound = service?.maximumConnections ?? 0;
			if (bound === 0) {
				return {maximum: unboundedConnections, isPersistent: true};
			}

			const used = bound * connectionFraction;
			const part = Math.floor(used / knownNodeIds().length);
			// Two resting connections of each of many nodes are more than a server takes, and it resets what is beyond: only the
			// first in an order keep theirs.
			const keepers = Math.floor(used / fewestConnections);
			return {
				maximum: Math.max(fewestConnections, part),
				isPersistent: part >= fewestConnections || order.rank(server) < keepers,
			};
		},
	};
};
