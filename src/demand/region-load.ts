/**
Load of a service in a region: requests of all nodes in flight, and the number of requests that its servers run without a
noticeable wait.
*/
export type RegionLoad = {
	readonly region: string;
	readonly service: string;
	readonly load: number;
	readonly slots: number;
};

/**
The latest loads of regions.
*/
export type RegionLoads = {
	record(loads: readonly RegionLoad[], now: number): void;
	/**
	Returns the load of a service in a region, or undefined without a recent report.
	*/
	of(region: string, service: string, now: number): RegionLoad | undefined;
	/**
	Returns all recent loads.
	*/
	recent(now: number): readonly RegionLoad[];
};

/**
Maximum age of a region's load that is used, in milliseconds. A region that has been cut off is not sent requests after it.
*/
export const regionLoadMaximumAgeMs = 2500;

/**
Creates loads without reports.
*/
export const createRegionLoads = (): RegionLoads => {
	const reports = new Map<
		string,
		{readonly load: RegionLoad; readonly at: number}
	>();
	const isRecent = (at: number, now: number) =>
		now - at <= regionLoadMaximumAgeMs;

	return {
		record(loads, now) {
			for (const load of loads) {
				reports.set(`${load.region} ${load.service}`, {load, at: now});
			}
		},
		of(region, service, now) {
			const report = reports.get(`${region} ${service}`);
			return report && isRecent(report.at, now) ? report.load : undefined;
		},
		recent: (now) =>
			reports
				.values()
				.filter(({at}) => isRecent(at, now))
				.map(({load}) => load)
				.toArray(),
	};
};
