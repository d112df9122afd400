import type {ServerState} from './server-state.ts';

/**
How long a server's statement of its load says something, in milliseconds: about as long as the streams
last that it counted. It counts for less the older it is.
*/
export const statedLoadMaximumAgeMs = 3000;

/**
What a load is reckoned with beside what is known of the server.
*/
export type LoadAssumptions = {
	/**
	Requests of this node beyond those that are under way.
	*/
	readonly additional?: number;
	/**
	Requests that the other nodes hold; as many each as this one where it is not given.
	*/
	readonly others?: number;
};

/**
The requests of all nodes that are under way at a server, as far as this node can tell.

What the server said last, without this node's requests of then, is taken for the others'; without a
recent statement the assumption is.

@param state What this node knows of the server.
@param sharers Nodes that send to the server, this one included.
@param now This node's clock, in milliseconds.
@param assumptions What is taken for granted.
*/
export const estimatedLoad = (
	state: ServerState,
	sharers: number,
	now: number,
	assumptions: LoadAssumptions = {},
): number => {
	const {inFlight, statedLoad} = state;
	const own = inFlight + (assumptions.additional ?? 0);
	const others = assumptions.others ?? own * (sharers - 1);
	if (!statedLoad) {
		return own + others;
	}

	const trust = Math.max(0, 1 - (now - statedLoad.at) / statedLoadMaximumAgeMs);
	return own + statedLoad.others * trust + others * (1 - trust);
};

/**
Requests that the other nodes are taken to hold at each server of a service: as many each as this node held
on the average lately, spread evenly.

What this node has at one server at one moment tells little of the others where there are many nodes: one
request of its own would stand for as many as there are nodes and make an idle server look full.

@param mean Requests of this node for the service, on the average over the last seconds.
@param nodes Nodes that send to the servers, this one included.
@param servers Servers of the service.
*/
export const estimatedPeerRequests = (
	mean: number,
	nodes: number,
	servers: number,
): number => (mean * (nodes - 1)) / Math.max(1, servers);
