/**
State of one backend server, for operators.
*/
export type BackendServerState = {
	readonly id: string;
	readonly service: string;
	readonly availabilityZone: string;
	readonly address: string;
	readonly isLeaving: boolean;
	readonly isEjected: boolean;
	readonly load: number;
	readonly slots: number;
	readonly inFlight: number;
	readonly firstTokenMs: number;
	readonly weight: number;
	/**
	Milliseconds since the latest load report; undefined before the first.
	*/
	readonly reportAgeMs: number | undefined;
};

/**
Aggregate load and latency of several servers.
*/
export type FleetCapacity = {
	readonly load: number;
	readonly slots: number;
	/**
	Mean time to the first token, weighted by slots, in milliseconds.
	*/
	readonly firstTokenMs: number;
	/**
	Median time to the first token, in milliseconds; unlike the mean, robust against one slow server.
	*/
	readonly typicalFirstTokenMs: number;
	readonly costPerThousandTokens: number;
};
