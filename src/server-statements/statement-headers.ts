/**
Names of the headers in which backend servers state something about themselves, in lower case.
*/
export type StatementHeaders = {
	/**
	`1` while the server is shutting down.
	*/
	readonly leaving: string;
	/**
	Requests per second that the server accepts from all nodes together, a decimal number.
	*/
	readonly limit: string;
	/**
	Requests per second that the server can refuse for lack of capacity before it fails, a decimal number.
	*/
	readonly refusalLimit: string;
	/**
	`RUNNING,WAITING,SLOTS`; undefined if servers do not state their load in a header.
	*/
	readonly load: string | undefined;
	/**
	Remaining time for which the server is cold, in milliseconds; undefined if servers do not state it in a header.
	*/
	readonly coldMs: string | undefined;
};

/**
The standard header by which a server that responds with 503 requests a backoff, in seconds (RFC 9110, 10.2.3).
*/
export const retryAfterHeader = 'retry-after';
