/**
Requirements of a request for a backend server.
*/
export type Placement = {
	readonly service: string;
	/**
	The only version of the servers' software that may run the request; undefined if any may.
	*/
	readonly softwareVersion?: string;
	/**
	The shared part of the prompt, which determines the server that is preferred.
	*/
	readonly sharedPart?: {readonly id: string; readonly tokens: number};
	readonly promptTokens: number;
	/**
	Priority of the route; 0 is the most urgent.
	*/
	readonly priority?: number;
	/**
	Target time to the first event, in milliseconds.
	*/
	readonly targetMs: number;
	/**
	Backend servers that have already failed the request.
	*/
	readonly excluded: ReadonlySet<string>;
	/**
	Whether the request was in flight at a server that crashed. It is sent only to a server where this node has no other such
request in flight.
	*/
	readonly isIsolated?: boolean;
	/**
	Whether the request is in flight at another server, so it does not wait if there is no capacity.
	*/
	readonly isSecondCall?: boolean;
	/**
	Whether a more urgent request waits for capacity. Rate-limited servers are then reserved for that request.
	*/
	readonly hasMoreUrgentWaiter?: boolean;
};
