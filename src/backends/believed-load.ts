import type {ServerState} from './server-state.ts';

/**
How long a server's statement of its load says something, in milliseconds: about as long as the streams
last that it counted. It counts for less the older it is.
*/
export const statementTrustMs = 3000;

/**
The requests of all nodes that are under way at a server, as far as this node can tell.

What the server said last, without this node's requests of then, is taken for the others'. Without a
recent statement each of the other nodes is taken to hold as many as this one.

@param state What this node knows of the server.
@param sharers Nodes that send to the server, this one included.
@param now This node's clock, in milliseconds.
@param more Requests of this node beyond those that are under way.
*/
export const believedLoad = (
	state: ServerState,
	sharers: number,
	now: number,
	more = 0,
): number => {
	const {inFlight, stated} = state;
	const own = inFlight + more;
	const assumed = own * (sharers - 1);
	if (!stated) {
		return own + assumed;
	}

	const trust = Math.max(0, 1 - (now - stated.at) / statementTrustMs);
	return own + stated.others * trust + assumed * (1 - trust);
};
