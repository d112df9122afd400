/**
Routing data of a backend server in this node's availability zone.
*/
export type BackendServerCandidate = {
	readonly id: string;
	/**
	Estimated number of requests that run or wait at the server now.
	*/
	readonly load: number;
	readonly slots: number;
	/**
	Expected milliseconds to the first token at the current load.
	*/
	readonly expectedFirstTokenMs: number;
	readonly costPerThousandTokens: number;
	/**
	Slow-start weight, from just above 0 (just returned, cold caches) to 1 (full share).
	*/
	readonly weight: number;
};

/**
An availability zone that could serve a request.
*/
export type ZoneCandidate = {
	readonly availabilityZone: string;
	readonly region: string;
	/**
	Whether this node is in the zone.
	*/
	readonly isLocal: boolean;
	/**
	Whether the zone is in the request's home region.
	*/
	readonly isHome: boolean;
	readonly load: number;
	readonly slots: number;
	/**
	Expected milliseconds to the first token, including the network delay.
	*/
	readonly expectedFirstTokenMs: number;
	readonly costPerThousandTokens: number;
	/**
	Confidence in the estimates, from 0 to 1; decreases with their age.
	*/
	readonly trust: number;
};

/**
Load as a fraction of the slots; 1 means that all slots are in use.
*/
export const utilization = ({
	load,
	slots,
}: {
	readonly load: number;
	readonly slots: number;
}): number => load / Math.max(1, slots);
