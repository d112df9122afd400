/**
Bounds of the fleet's estimates, in milliseconds unless said otherwise.
*/
export type FleetParameters = {
	/**
	After this long a load report counts for about a third.
	*/
	readonly reportDecay: number;
	readonly failuresToEject: number;
	readonly ejection: number;
	readonly maximumEjection: number;
	readonly slowStart: number;
	readonly firstTokenPrior: number;
	/**
	Share of slots beyond which this node sends nothing more to a server.
	*/
	readonly queueAllowance: number;

	/**
	How long sums over many servers are used again.
	*/
	readonly sumValidity: number;
};

/**
Parameters in use unless a test states others.
*/
export const defaultFleetParameters: FleetParameters = {
	reportDecay: 1000,
	failuresToEject: 3,
	ejection: 2000,
	maximumEjection: 30_000,
	slowStart: 10_000,
	firstTokenPrior: 30,
	queueAllowance: 0.5,
	sumValidity: 20,
};
