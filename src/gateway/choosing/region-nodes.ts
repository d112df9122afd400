import type {ServiceLoad} from '../../backends/index.ts';
import type {Member} from '../../membership/index.ts';
import {isRegionAllowed} from '../../routes/index.ts';
import type {Exchange} from '../exchange.ts';

/**
The targets that a request has already tried.
*/
export type TriedTargets = {
	/**
	Regions that refused the request for lack of capacity.
	*/
	readonly regions: ReadonlySet<string>;
	/**
	Nodes that the request was sent to.
	*/
	readonly members: ReadonlySet<string>;
};

/**
Nodes of a region. A request may be sent to any of them.
*/
export type RegionNodes = {
	readonly region: string;
	readonly members: readonly Member[];
	/**
	Load of the region per slot.
	*/
	readonly cost: number;
};

/**
Options of the functions that find nodes.
*/
export type RegionNodesOptions = {
	readonly localRegion: string;
	readonly regions: readonly string[];
	/**
	Returns the nodes of a region that accept requests.
	*/
	readonly membersIn: (region: string) => readonly Member[];
	/**
	Returns the last known load and the slots of a service in another region.
	*/
	readonly loadIn: (region: string, service: string) => ServiceLoad;
};

/**
Finds the nodes of another region to which a request may be sent. Returns undefined if the region may not serve the
request, has refused it, has no slots, or has no untried node.
*/
export const nodesOfRegion = (
	options: RegionNodesOptions,
	region: string,
	exchange: Exchange,
	tried: TriedTargets,
): RegionNodes | undefined => {
	const isEligible =
		region !== options.localRegion &&
		isRegionAllowed(exchange.route, region) &&
		!tried.regions.has(region);
	if (!isEligible) {
		return undefined;
	}

	const {load, slots} = options.loadIn(region, exchange.service);
	const members = untriedIn(options, region, tried);
	return slots === 0 || members.length === 0
		? undefined
		: {region, members, cost: load / slots};
};

/**
Finds the nodes of the other region with the lowest load per slot.
*/
export const nodesOfLeastLoadedRegion = (
	options: RegionNodesOptions,
	exchange: Exchange,
	tried: TriedTargets,
): RegionNodes | undefined => {
	let best: RegionNodes | undefined;
	for (const region of options.regions) {
		const nodes = nodesOfRegion(options, region, exchange, tried);
		if (nodes && (!best || nodes.cost < best.cost)) {
			best = nodes;
		}
	}

	return best;
};

/**
Returns the nodes of a region that a request has not tried yet.
*/
export const untriedIn = (
	{membersIn}: Pick<RegionNodesOptions, 'membersIn'>,
	region: string,
	tried: TriedTargets,
): readonly Member[] =>
	membersIn(region).filter(({id}) => !tried.members.has(id));
