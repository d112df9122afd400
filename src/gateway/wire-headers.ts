/**
Names of the headers that callers and backend servers use, in lower case. Each deployment chooses its own, so they are
passed to the gateway.
*/
export type WireHeaders = {
	/**
	The caller's id of a request; backend servers return it with each response.
	*/
	readonly requestId: string;
	/**
	Milliseconds that the caller, or this node, will continue to wait.
	*/
	readonly remainingMs: string;
	/**
	A backend server's signature, which proves that a response is its own.
	*/
	readonly signature: string;
	/**
	The backend server for which a request is meant.
	*/
	readonly expectedServer: string;
	/**
	A backend server's statement that it did not run the request.
	*/
	readonly notRun: string;
	/**
	In a request with `Last-Event-Id`: the id of the caller's request that brought the first event of the stream.
	*/
	readonly continuedRequestId: string;
	/**
	Parts of the prompt, as `ID:TOKENS` separated by commas.
	*/
	readonly promptParts: string;
	/**
	Tokens of the prompt and the maximum number of generated tokens, separated by a comma.
	*/
	readonly tokenUsage: string;
	/**
	The caller's estimate of the number of generated tokens. Often far off.
	*/
	readonly lengthHint: string;
	/**
	Load that a backend server states in its responses, as `RUNNING,WAITING,SLOTS`.
	*/
	readonly load: string;
	/**
	Limit that an overloaded backend server states in its responses: the requests per second, a decimal number, that it
	accepts from all nodes together.
	*/
	readonly limit: string;
	/**
	Refusals per second for lack of capacity, a decimal number, beyond which a backend server fails.
	*/
	readonly refusalLimit: string;
	/**
	`1` in the responses of a backend server that is shutting down.
	*/
	readonly leaving: string;
	/**
	Urgency of a request, for backend servers that process more urgent requests first: 0 is the most urgent, `leastUrgent`
	the least.
	*/
	readonly urgency: string;
	/**
	Milliseconds for which a backend server is still cold, in its responses to health checks.
	*/
	readonly coldMs: string;
	/**
	Id of the backend server that responds to a health check.
	*/
	readonly serverId: string;
	/**
	The key of the caller's account; never forwarded to backend servers.
	*/
	readonly clientKey: string;
	/**
	Name of the account, sent to backend servers in place of any value that the caller sent.
	*/
	readonly client: string;
	/**
	Headers that only the gateway may set; removed from the requests of callers.
	*/
	readonly reserved: readonly string[];
};

/**
The lowest urgency that backend servers distinguish.
*/
export const leastUrgent = 9;

/**
The standard header with which an interrupted event stream is resumed.
*/
export const lastEventIdHeader = 'last-event-id';

// Hop-by-hop headers (RFC 9110, 7.6.1).
const connectionHeaders: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'proxy-authenticate',
	'proxy-authorization',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
	'content-length',
]);

/**
Copies raw headers without the hop-by-hop headers and without the given ones.
*/
export const forwardableHeaders = (
	rawHeaders: readonly string[],
	excluded: ReadonlySet<string>,
): string[] => {
	const forwarded: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (!connectionHeaders.has(name) && !excluded.has(name)) {
			forwarded.push(rawHeaders[index]!, rawHeaders[index + 1]!);
		}
	}

	return forwarded;
};

/**
Returns the first value of a raw header, by its name in lower case.
*/
export const rawHeader = (
	rawHeaders: readonly string[],
	name: string,
): string | undefined => {
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		if (rawHeaders[index]!.toLowerCase() === name) {
			return rawHeaders[index + 1];
		}
	}

	return undefined;
};
