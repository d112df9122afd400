/**
A request that was in flight at a backend server when that server crashed.
*/
export type CrashedRun = {
	/**
	Identifies the content of the request, independent of its id.
	*/
	readonly fingerprint: string;
	/**
	When the request was sent to the server, on this node's clock in milliseconds.
	*/
	readonly sentAt: number;
};

/**
The unplanned end of a backend server, as one node saw it.
*/
export type Crash = {
	/**
	Identifies the incarnation of the server that ended.
	*/
	readonly incarnationId: string;
	/**
	When the first connection to the server broke, on this node's clock in milliseconds.
	*/
	readonly at: number;
	readonly runs: readonly CrashedRun[];
};

/**
Maximum number of requests remembered per crash: about as many as a server runs and queues at once.
*/
export const maximumRunsPerCrash = 96;
