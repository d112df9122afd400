import {createRecentReports} from './recent-reports.ts';

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
	const reports = createRecentReports<RegionLoad>(regionLoadMaximumAgeMs);
	const keyOf = (region: string, service: string) => `${region} ${service}`;

	return {
		record(loads, now) {
			for (const load of loads) {
				reports.record(keyOf(load.region, load.service), load, now);
			}
		},
		of: (region, service, now) => reports.of(keyOf(region, service), now),
		recent: reports.all,
	};
};
