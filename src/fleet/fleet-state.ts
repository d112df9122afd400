/**
What is known of one backend server, for operators.
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
Load and speed of several servers together.
*/
export type FleetCapacity = {
	readonly load: number;
	readonly slots: number;
	/**
	Mean over the servers, weighted by their slots, in milliseconds.
	*/
	readonly firstTokenMs: number;
	/**
	Median over the servers, which one slow server does not move.
	*/
	readonly typicalFirstTokenMs: number;
	readonly costPerThousandTokens: number;
};
