import type {ServiceLoad} from '../../backends/index.ts';
import type {Member} from '../../membership/index.ts';
import {isRegionAllowed} from '../../routes/index.ts';
import type {Exchange} from '../exchange.ts';

/**
What a request has met so far.
*/
export type TriedTargets = {
	/**
	Regions that refused it, and nodes that could not be reached.
	*/
	readonly regions: ReadonlySet<string>;
	readonly members: ReadonlySet<string>;
};

/**
Nodes of one region, any of which may be sent a request.
*/
export type RegionNodes = {
	readonly region: string;
	readonly members: readonly Member[];
	/**
	Its load by its room.
	*/
	readonly cost: number;
};

/**
What nodes are found from.
*/
export type RegionNodesOptions = {
	readonly localRegion: string;
	readonly regions: readonly string[];
	/**
	Nodes of a region that can be given work.
	*/
	readonly membersIn: (region: string) => readonly Member[];
	/**
	Load and room of a service in another region, as far as known.
	*/
	readonly loadIn: (region: string, service: string) => ServiceLoad;
};

/**
Finds the nodes of another region; undefined where the request may not be sent there, or nothing
there can take it.
*/
export const nodesOfRegion = (
	options: RegionNodesOptions,
	region: string,
	exchange: Exchange,
	tried: TriedTargets,
): RegionNodes | undefined => {
	const isOpen =
		region !== options.localRegion &&
		isRegionAllowed(exchange.route, region) &&
		!tried.regions.has(region);
	if (!isOpen) {
		return undefined;
	}

	const {load, slots} = options.loadIn(region, exchange.service);
	const members = untriedIn(options, region, tried);
	return slots === 0 || members.length === 0
		? undefined
		: {region, members, cost: load / slots};
};

/**
Finds the nodes of the other region that has the least load by its room.
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
Nodes of a region that a request has not met yet.
*/
export const untriedIn = (
	{membersIn}: Pick<RegionNodesOptions, 'membersIn'>,
	region: string,
	tried: TriedTargets,
): readonly Member[] =>
	membersIn(region).filter(({id}) => !tried.members.has(id));
