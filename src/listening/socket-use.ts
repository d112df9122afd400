/**
What a node uses a socket for, as log lines and error messages name it.
*/
export type SocketUse =
	/**
	Requests of callers.
	*/
	| 'callers'
	/**
	Calls of other nodes.
	*/
	| 'nodes'
	/**
	Calls of other nodes at the second address, by which they find this node.
	*/
	| 'seeds'
	/**
	Datagrams of other nodes.
	*/
	| 'heartbeats'
	| 'readiness'
	| 'directory'
	| 'metrics';
