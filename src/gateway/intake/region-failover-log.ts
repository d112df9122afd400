import type {Logger} from '../../logging/index.ts';
import type {Member} from '../../membership/index.ts';

/**
Logs when callers of a region begin to be directed to other regions, and when that ends.
*/
export type RegionFailoverLog = {
	/**
	Records the nodes that callers of the region were given.
	*/
	record(region: string, named: readonly Member[]): void;
};

/**
Options of `createRegionFailoverLog`.
*/
export type RegionFailoverLogOptions = {
	readonly logger: Logger;
	readonly regionOf: (availabilityZone: string) => string;
	/**
	All known nodes, including this one.
	*/
	readonly members: () => readonly Member[];
};

/**
Creates a log that assumes callers of each region to be directed to their own region.
*/
export const createRegionFailoverLog = ({
	logger,
	regionOf,
	members,
}: RegionFailoverLogOptions): RegionFailoverLog => {
	const targets = new Map<string, string>();

	return {
		record(region, named) {
			// Only changes are logged, because callers ask every two seconds.
			const regions = new Set(
				named.map(({availabilityZone}) => regionOf(availabilityZone)),
			);
			const target = [...regions].toSorted().join(' ');
			if (target === (targets.get(region) ?? region)) {
				return;
			}

			targets.set(region, target);
			logger.info(
				{
					region,
					target,
					members: members()
						.map(({id, status}) => `${id} ${status}`)
						.join(', '),
				},
				'target regions of callers changed',
			);
		},
	};
};
