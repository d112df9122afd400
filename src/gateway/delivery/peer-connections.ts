// The keys and the limit of connections to other nodes.
import type {Member} from '../../membership/index.ts';

/**
Maximum number of connections to one other node. A request occupies one until its stream ends.
*/
export const maximumConnectionsPerPeer = 256;

/**
Returns the key of the connection pool for one incarnation of a node.
*/
export const peerConnectionKey = ({id, incarnation}: Member): string =>
	`node ${id}/${incarnation}`;
