/**
Names of the headers that callers and backend servers use, in lower case. What a deployment calls
them is its own matter, so they are given to the gateway.
*/
export type WireHeaders = {
	/**
	The caller's id of a request; backend servers send it back with each answer.
	*/
	readonly requestId: string;
	/**
	Milliseconds that the caller, or this node, goes on waiting.
	*/
	readonly remainingMs: string;
	/**
	A backend server's proof that an answer is its own.
	*/
	readonly signature: string;
	/**
	Names the backend server that a request is meant for.
	*/
	readonly expectedServer: string;
	/**
	A backend server's statement that it did not run the request.
	*/
	readonly notRun: string;
	/**
	Parts of the prompt, as `ID:TOKENS` separated by commas.
	*/
	readonly promptParts: string;
	/**
	Tokens of the prompt and the most that it generates, separated by a comma.
	*/
	readonly tokenUsage: string;
	/**
	What a backend server says of its load in its answers, as `RUNNING,WAITING,SLOTS`.
	*/
	readonly load: string;
	/**
	What a backend server names in its answers while it is in need: the requests a second, a decimal number, that it takes
	from all nodes together.
	*/
	readonly limit: string;
	/**
	`1` in the answers of a backend server that is shutting down.
	*/
	readonly leaving: string;
	/**
	How urgent a request is to a backend server that works on the more urgent ones first: 0 is the most
	urgent, `leastUrgent` the least.
	*/
	readonly urgency: string;
	/**
	Remaining time of a cold backend server in milliseconds, in its health answers.
	*/
	readonly coldMs: string;
	/**
	The backend server that answers a health check.
	*/
	readonly serverId: string;
	/**
	The key of the caller's account; never sent on.
	*/
	readonly clientKey: string;
	/**
	Tells backend servers the name of the account, whatever the caller sent under it.
	*/
	readonly client: string;
	/**
	Headers that only this system may set; taken off what callers send.
	*/
	readonly reserved: readonly string[];
};

/**
The greatest rank that backend servers tell apart.
*/
export const leastUrgent = 9;

/**
The standard header by which a broken event stream is taken up again.
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
Copies raw headers without those of one connection and without those that are named.
*/
export const forwardableHeaders = (
	rawHeaders: readonly string[],
	left: ReadonlySet<string>,
): string[] => {
	const kept: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (!connectionHeaders.has(name) && !left.has(name)) {
			kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
		}
	}

	return kept;
};

/**
The first value of a header in raw form, by its name in lower case.
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
