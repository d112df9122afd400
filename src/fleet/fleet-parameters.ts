/**
Parameters of the fleet's load and latency estimates.
*/
export type FleetParameters = {
	/**
	Time after which the weight of a load report has fallen to 1/e, about a third.
	*/
	readonly reportDecayMs: number;
	readonly failuresToEject: number;
	readonly ejectionMs: number;
	readonly maximumEjectionMs: number;
	readonly slowStartMs: number;
	readonly initialFirstTokenMs: number;
	/**
	Requests that may queue at a server, as a fraction of its slots; beyond them this node sends it no more.
	*/
	readonly queueAllowance: number;

	/**
	How long capacities summed over many servers are cached.
	*/
	readonly capacityCacheMs: number;
};

/**
Values that apply unless a caller of `createFleet` passes others.
*/
export const defaultFleetParameters: FleetParameters = {
	reportDecayMs: 1000,
	failuresToEject: 3,
	ejectionMs: 2000,
	maximumEjectionMs: 30_000,
	slowStartMs: 10_000,
	initialFirstTokenMs: 30,
	queueAllowance: 0.5,
	capacityCacheMs: 20,
};
