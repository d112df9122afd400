import type {ServerState} from './server-state.ts';

/**
Time after which a load that a server stated is ignored, in milliseconds: about the duration of the streams that it counts. The
weight of the statement decreases linearly with its age.
*/
export const statedLoadMaximumAgeMs = 3000;

/**
Assumptions that complement the known state of a server.
*/
export type LoadAssumptions = {
	/**
	Requests of this node in addition to those in flight.
	*/
	readonly additional?: number;
	/**
	Requests of the other nodes in flight at the server. By default, each node is assumed to have as many as this one.
	*/
	readonly others?: number;
};

/**
Estimates the requests of all nodes in flight at a server.

The requests of other nodes are the load that the server stated last, minus this node's requests at that time. Without a
recent statement, the assumption is used.

@param state State of the server at this node.
@param sharingNodes Number of nodes that send to the server, including this one.
@param now This node's clock, in milliseconds.
@param assumptions Assumptions that complement the state.
*/
export const estimatedLoad = (
	state: ServerState,
	sharingNodes: number,
	now: number,
	assumptions: LoadAssumptions = {},
): number => {
	const {inFlight, statedLoad} = state;
	const own = inFlight + (assumptions.additional ?? 0);
	const reported = state.peerRequests.estimate(state.known.server.id, now);
	if (reported !== undefined) {
		return own + reported;
	}

	const others = assumptions.others ?? own * (sharingNodes - 1);
	if (!statedLoad) {
		return own + others;
	}

	const weight = Math.max(
		0,
		1 - (now - statedLoad.at) / statedLoadMaximumAgeMs,
	);
	return own + statedLoad.others * weight + others * (1 - weight);
};

/**
Estimates the requests of the other nodes in flight at each server of a service. Each node is assumed to have as many as this
node's recent average, spread evenly over the servers.

With many nodes, this node's current requests at one server are a poor estimate: a single request would be multiplied by the
number of nodes and make an idle server appear full.

@param mean Average number of this node's requests for the service over the last seconds.
@param nodes Number of nodes that send to the servers, including this one.
@param servers Number of servers of the service.
*/
export const estimatedPeerRequests = (
	mean: number,
	nodes: number,
	servers: number,
): number => (mean * (nodes - 1)) / Math.max(1, servers);
