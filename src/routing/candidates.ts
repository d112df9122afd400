/**
A backend server of this node's own availability zone, as routing sees it.
*/
export type BackendServerCandidate = {
	readonly id: string;
	/**
	Requests estimated to be running or queued there now.
	*/
	readonly load: number;
	readonly slots: number;
	/**
	Expected milliseconds to the first token at the current load.
	*/
	readonly expectedFirstTokenMs: number;
	readonly costPerThousandTokens: number;
	/**
	From just above 0 (just returned, cold) to 1 (fully trusted).
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
	Whether it is the zone of the deciding node.
	*/
	readonly isLocal: boolean;
	/**
	Whether it lies in the request's home region.
	*/
	readonly isHome: boolean;
	readonly load: number;
	readonly slots: number;
	/**
	Expected milliseconds to the first token, the way there included.
	*/
	readonly expectedFirstTokenMs: number;
	readonly costPerThousandTokens: number;
	/**
	How far the figures can be trusted, from 0 to 1; falls with their age.
	*/
	readonly trust: number;
};

/**
Load as a share of slots; 1 means that every slot is taken.
*/
export const utilization = ({
	load,
	slots,
}: {
	readonly load: number;
	readonly slots: number;
}): number => load / Math.max(1, slots);
