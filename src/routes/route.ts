import type {ClientAccount} from '../clients/index.ts';

/**
How often a request of a route may run, and the form of its answer.
*/
export const routeKinds = [
	'idempotent',
	'non-idempotent',
	'streaming',
] as const;

/**
One of the kinds of route.
*/
export type RouteKind = (typeof routeKinds)[number];

/**
A service that takes a share of a route's requests.
*/
export type WeightedService = {
	readonly service: string;
	readonly weight: number;
};

/**
Which requests go to which service, and under what terms.
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
	Longest time a request may be held, in milliseconds.
	*/
	readonly timeoutMs: number;
	/**
	Time to the answer, or to the first event of a stream, that users hope for, in milliseconds.
	*/
	readonly targetLatencyMs: number;
	/**
	0 is the most urgent.
	*/
	readonly priority: number;
	/**
	The most backend servers that one request may be sent to.
	*/
	readonly maximumAttempts: number;
	/**
	Whether a broken stream may be continued at another backend server.
	*/
	readonly isResumable: boolean;
	/**
	Whether requests profit from a backend server that has served the same prompt before.
	*/
	readonly isSticky: boolean;
	/**
	The only regions that may serve the route; empty for all.
	*/
	readonly homeRegions: readonly string[];
	/**
	Whether it asks for no client key.
	*/
	readonly isPublic: boolean;
};

/**
A service as the configuration describes it.
*/
export type Service = {
	readonly name: string;
	/**
	Path of the health check.
	*/
	readonly healthPath: string;
	/**
	Connections that one backend server accepts from all nodes together; 0 where not bounded.
	*/
	readonly maximumConnections: number;
	/**
	Maximum rate of a cold backend server, over all nodes, in requests a second; 0 where not bounded.
	*/
	readonly coldRequestsPerSecond: number;
	/**
	Given for model engines.
	*/
	readonly engine: EngineTraits | undefined;
};

/**
What the configuration says of the engines of a service.
*/
export type EngineTraits = {
	/**
	Requests that run at the same time.
	*/
	readonly slots: number;
	/**
	Tokens that the memory of one engine holds.
	*/
	readonly memoryTokens: number;
};

/**
Bounds on what callers may send.
*/
export type CallerLimits = {
	readonly maximumHeaderBytes: number;
	readonly maximumBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/**
A whole set of routes, as the operator publishes it.
*/
export type RouteDocument = {
	/**
	Rises with each change, in uneven steps.
	*/
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly limits: CallerLimits;
	/**
	Undefined where callers need no key.
	*/
	readonly clients: readonly ClientAccount[] | undefined;
};

/**
Whether a request of the route may run more than once.
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
Whether a region may serve the route.
*/
export const isRegionAllowed = (route: Route, region: string): boolean =>
	route.homeRegions.length === 0 || route.homeRegions.includes(region);
