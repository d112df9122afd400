/**
A request that is sent to no backend server, because servers crashed each time that they ran it.
*/
export type QuarantineEntry = {
	readonly fingerprint: string;
	/**
	Until when, on this node's clock in milliseconds.
	*/
	readonly until: number;
	/**
	How many times it was put in quarantine, from 1 on.
	*/
	readonly level: number;
};

/**
How long a first quarantine lasts, in milliseconds: long against the spells in which callers come back, and short enough
for an operator to see what a new version of the servers makes of the request.
*/
export const firstQuarantineMs = 600_000;

/**
How long a quarantine lasts at the most, in milliseconds; each one lasts twice as long as the one before, so that a request
that is never mended costs a crash in four hours.
*/
export const longestQuarantineMs = 14_400_000;

/**
How long after a quarantine one more crash is enough for the next, in milliseconds.
*/
export const probationMs = 14_400_000;

/**
The length of the quarantine of a level.
*/
export const quarantineMs = (level: number): number =>
	Math.min(longestQuarantineMs, firstQuarantineMs * 2 ** (level - 1));
