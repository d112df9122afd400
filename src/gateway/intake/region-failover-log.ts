import type {Logger} from '../../logging/index.ts';
import type {Member} from '../../membership/index.ts';

/**
Writes down when callers of a region begin to be led to other regions, and when that ends.
*/
export type RegionFailoverLog = {
	/**
	Callers of the region were told of these nodes.
	*/
	note(region: string, named: readonly Member[]): void;
};

/**
What a log is built from.
*/
export type RegionFailoverLogOptions = {
	readonly logger: Logger;
	readonly regionOf: (availabilityZone: string) => string;
	/**
	All nodes that are known, this one included.
	*/
	readonly members: () => readonly Member[];
};

/**
Builds a log in which callers of all regions were led to their own.
*/
export const createRegionFailoverLog = ({
	logger,
	regionOf,
	members,
}: RegionFailoverLogOptions): RegionFailoverLog => {
	const ledTo = new Map<string, string>();

	return {
		note(region, named) {
			// A change is a line, not each answer: callers ask every other second.
			const regions = new Set(
				named.map(({availabilityZone}) => regionOf(availabilityZone)),
			);
			const target = [...regions].toSorted().join(' ');
			if (target === (ledTo.get(region) ?? region)) {
				return;
			}

			ledTo.set(region, target);
			logger.info(
				{
					region,
					target,
					members: members()
						.map(({id, status}) => `${id} ${status}`)
						.join(', '),
				},
				'callers led to other regions than before',
			);
		},
	};
};
