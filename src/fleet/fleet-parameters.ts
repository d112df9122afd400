/**
Bounds of the fleet's estimates, in milliseconds unless said otherwise.
*/
export type FleetParameters = {
	/**
	After this long a load report counts for about a third.
	*/
	readonly reportDecayMs: number;
	readonly failuresToEject: number;
	readonly ejectionMs: number;
	readonly maximumEjectionMs: number;
	readonly slowStartMs: number;
	readonly initialFirstTokenMs: number;
	/**
	Share of slots beyond which this node sends nothing more to a server.
	*/
	readonly queueAllowance: number;

	/**
	How long sums over many servers are used again.
	*/
	readonly capacityCacheMs: number;
};

/**
Parameters in use unless a test states others.
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
