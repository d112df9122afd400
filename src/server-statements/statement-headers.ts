/**
Names of the headers in which backend servers state something about themselves, in lower case.
*/
export type StatementHeaders = {
	/**
	`1` while the server is shutting down.
	*/
	readonly leaving: string;
	/**
	Requests a second that the server accepts from all nodes together, a decimal number.
	*/
	readonly limit: string;
	/**
	`RUNNING,WAITING,SLOTS`; undefined where servers do not state it in headers, like the next one.
	*/
	readonly load: string | undefined;
	/**
	How much longer the server is cold, in milliseconds.
	*/
	readonly coldMs: string | undefined;
};

/**
The standard header by which a server that refuses with 503 asks for a pause, in seconds (RFC 9110, 10.2.3).
*/
export const retryAfterHeader = 'retry-after';
