/**
A request that is not sent to any backend server, because servers crashed each time they ran it.
*/
export type QuarantineEntry = {
	readonly fingerprint: string;
	/**
	End of the quarantine, on this node's clock in milliseconds.
	*/
	readonly until: number;
	/**
	How many times the request was put in quarantine, starting at 1.
	*/
	readonly level: number;
};

/**
Duration of a first quarantine, in milliseconds. It is longer than the periods in which callers retry, and short enough
for an operator to see how a new version of the servers handles the request.
*/
export const firstQuarantineMs = 600_000;

/**
Maximum duration of a quarantine, in milliseconds. Each quarantine lasts twice as long as the previous one, so that a
request that keeps crashing servers costs one crash in four hours.
*/
export const longestQuarantineMs = 14_400_000;

/**
How long after a quarantine one more crash is enough for the next quarantine, in milliseconds.
*/
export const probationMs = 14_400_000;

/**
The duration of a quarantine at a level, in milliseconds.
*/
export const quarantineMs = (level: number): number =>
	Math.min(longestQuarantineMs, firstQuarantineMs * 2 ** (level - 1));
