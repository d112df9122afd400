import type {ClientAccount} from '../clients/index.ts';

/**
Kinds of route: whether a request may run more than once, and whether its response is a stream.
*/
export const routeKinds = [
	'idempotent',
	'non-idempotent',
	'streaming',
] as const;

/**
A kind of route.
*/
export type RouteKind = (typeof routeKinds)[number];

/**
A service that receives a weighted share of a route's requests.
*/
export type WeightedService = {
	readonly service: string;
	readonly weight: number;
};

/**
Maps requests to services and defines how they are served.
*/
export type Route = {
	readonly name: string;
	/**
	Host without port, in lower case.
	*/
	readonly host: string;
	/**
	Begins and ends with a slash.
	*/
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	readonly services: readonly WeightedService[];
	/**
	Maximum duration of a request in the gateway, in milliseconds.
	*/
	readonly timeoutMs: number;
	/**
	Target time to the response, or to the first event of a stream, in milliseconds.
	*/
	readonly targetLatencyMs: number;
	/**
	Priority; 0 is the highest.
	*/
	readonly priority: number;
	/**
	Maximum number of backend servers that a request may be sent to.
	*/
	readonly maximumAttempts: number;
	/**
	Whether a broken stream may be resumed on another backend server.
	*/
	readonly isResumable: boolean;
	/**
	Whether requests benefit from a backend server that has served the same prompt before (prompt affinity).
	*/
	readonly isSticky: boolean;
	/**
	Regions that may serve the route; an empty list allows all regions.
	*/
	readonly homeRegions: readonly string[];
	/**
	Whether requests are accepted without a client key.
	*/
	readonly isPublic: boolean;
};

/**
A service, as configured.
*/
export type Service = {
	readonly name: string;
	/**
	Path of the health check.
	*/
	readonly healthPath: string;
	/**
	Maximum connections to one backend server from all nodes together; 0 means unlimited.
	*/
	readonly maximumConnections: number;
	/**
	Maximum rate of a cold backend server over all nodes, in requests per second; 0 means unlimited.
	*/
	readonly coldRequestsPerSecond: number;
	/**
	Set for services that run model engines.
	*/
	readonly engine: EngineTraits | undefined;
};

/**
Configured properties of a service's engines.
*/
export type EngineTraits = {
	/**
	Number of requests that run concurrently.
	*/
	readonly slots: number;
	/**
	Capacity of one engine's memory, in tokens.
	*/
	readonly memoryTokens: number;
};

/**
Limits on what callers may send.
*/
export type CallerLimits = {
	readonly maximumHeaderBytes: number;
	readonly maximumBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/**
A complete set of routes, as published by the operator.
*/
export type RouteDocument = {
	/**
	Increases with each change, not necessarily by one.
	*/
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly limits: CallerLimits;
	/**
	Client accounts; undefined if callers need no key.
	*/
	readonly clients: readonly ClientAccount[] | undefined;
};

/**
Returns whether a request of the route may run more than once.
*/
export const isRepeatable = (route: Route): boolean => {
	switch (route.kind) {
		case 'idempotent': {
			return true;
		}

		case 'non-idempotent': {
			return false;
		}

		case 'streaming': {
			return route.isResumable;
		}
	}
};

/**
Returns whether a region may serve the route.
*/
export const isRegionAllowed = (route: Route, region: string): boolean =>
	route.homeRegions.length === 0 || route.homeRegions.includes(region);
