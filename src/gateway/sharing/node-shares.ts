import type {Mesh} from '../../mesh/index.ts';
import type {Service} from '../../routes/index.ts';
import {createDerived, createNodeOrder} from '../../shared/index.ts';

/**
This node's share of resources that all nodes use together.
*/
export type NodeShares = {
	/**
	Whether enough time has passed since the start for this node to have learned of the others.
	*/
	hasSettled(): boolean;
	/**
	Ids of all nodes of the region that were ever known, including this one.
	*/
	knownNodeIds(): readonly string[];
	/**
	Rank of this node among them in the order for a backend server, from 0.
	*/
	senderRank(server: string): number;
	/**
	Number of nodes of the region that are assumed to serve now, including this one.
	*/
	nodesServing(): number;
	/**
	Number of nodes of all regions that share the slack of the retry budget; infinite while this node may use none of it.
	*/
	retrySharingNodes(): number;
	/**
	Connections that this node may open to one backend server of a service.
	*/
	connectionShare(
		service: Service | undefined,
		server: string,
	): ConnectionShare;
};

/**
A node's share of the connections that a backend server accepts.
*/
export type ConnectionShare = {
	readonly maximum: number;
	/**
	Whether idle connections stay open between requests. Otherwise each request opens a connection and closes it.
	*/
	readonly isPersistent: boolean;
};

/**
Options of `createNodeShares`.
*/
export type NodeSharesOptions = {
	readonly self: string;
	readonly localRegion: string;
	readonly regionOf: (availabilityZone: string) => string;
	readonly mesh: Mesh;
	readonly clock: () => number;
};

/**
Time after its start until a node has learned of the others, in milliseconds: a few heartbeats. Until then it uses shared
resources sparingly, because after a stop of all nodes none knows another.
*/
export const settlingMs = 2500;

/**
Minimum number of nodes among which the retry slack is divided, so that nodes that cannot reach each other do not each
use all of it.
*/
export const minimumSharingNodes = 8;

/**
Number of nodes that a node assumes for its region until it has learned of the others. After a stop of all nodes each
would otherwise send as much as the whole region may.
*/
export const assumedNodes = 3;

/**
Fraction of the connections of a backend server that all nodes together use.
*/
export const connectionFraction = 0.8;

// Maximum connections to a backend server without a configured limit.
const unboundedConnections = 128;

// Minimum connections of a node to a backend server, however many nodes share it: a single connection that is busy delays
// the next request.
const minimumConnections = 2;

/**
Creates the shares of a node that starts now.
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
		// After a stop of all nodes each knows only itself. No node uses the slack before it has learned of the others,
		// because all of them together could use many times the slack.
		retrySharingNodes: () =>
			hasSettled()
				? Math.max(1 + mesh.others().length, minimumSharingNodes)
				: Infinity,
		connectionShare(service, server) {
			const limit = service?.maximumConnections ?? 0;
			if (limit === 0) {
				return {maximum: unboundedConnections, isPersistent: true};
			}

			const usable = limit * connectionFraction;
			const share = Math.floor(usable / knownNodeIds().length);
			// Two idle connections of each of many nodes are more than a server accepts, and it resets those beyond its limit.
			// Only the first nodes in the order for the server have persistent connections.
			const persistentNodes = Math.floor(usable / minimumConnections);
			return {
				maximum: Math.max(minimumConnections, share),
				isPersistent:
					share >= minimumConnections || order.rank(server) < persistentNodes,
			};
		},
	};
};
