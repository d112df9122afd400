/**
A request that was under way at a backend server when that server crashed.
*/
export type CrashedRun = {
	/**
	What the request asks for, whatever its id.
	*/
	readonly fingerprint: string;
	/**
	When it was sent to the server, on this node's clock in milliseconds.
	*/
	readonly sentAt: number;
};

/**
The end of a backend server that nobody had planned, as one node saw it.
*/
export type Crash = {
	/**
	Names the life of the server that ended.
	*/
	readonly incarnationId: string;
	/**
	When the first connection to it broke, on this node's clock in milliseconds.
	*/
	readonly at: number;
	readonly runs: readonly CrashedRun[];
};

/**
Requests of one crash that are remembered at the most: about as many as a server runs at once and queues.
*/
export const maximumRunsPerCrash = 96;
