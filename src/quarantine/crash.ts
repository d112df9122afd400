/**
A request, or a part of prompts, that was in flight at a backend server when that server crashed.
*/
export type CrashedRun = {
	/**
	Identifies the content of the request, independent of its id, or the part.
	*/
	readonly fingerprint: string;
	/**
	When the request was sent to the server, on this node's clock in milliseconds.
	*/
	readonly sentAt: number;
	/**
	For a part of prompts: the number of requests in flight that have it. `sentAt` is that of the latest of them.
	*/
	readonly runs?: number;
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
A crash with the shared parts of the prompts that were in flight.
*/
export type ObservedCrash = Crash & {
	readonly parts: readonly CrashedPart[];
};

/**
A part of prompts that were in flight at a backend server when that server crashed.
*/
export type CrashedPart = Required<CrashedRun>;

/**
Maximum number of requests remembered per crash: about as many as a server runs and queues at once.
*/
export const maximumRunsPerCrash = 96;

/**
Maximum number of shared parts of one prompt that are considered. Prompts have fewer.
*/
export const maximumPartsPerPrompt = 8;
