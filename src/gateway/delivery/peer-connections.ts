// Connections to other nodes: what names them, and how many there may be.
import type {Member} from '../../membership/index.ts';

/**
Connections to one other node; a request holds one as long as its stream runs.
*/
export const maximumConnectionsPerPeer = 256;

/**
Names the connections to one life of a node, for the client that keeps them.
*/
export const peerConnectionKey = ({id, incarnation}: Member): string =>
	`node ${id}/${incarnation}`;
