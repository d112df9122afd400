import type {
	BackendFleet,
	LocalChoice,
	Placement,
} from '../../backends/index.ts';
import type {Member} from '../../membership/index.ts';
import {isRegionAllowed} from '../../routes/index.ts';
import type {Random} from '../../shared/index.ts';
import type {Exchange} from '../exchange.ts';
import {
	choosePromptNode,
	type PromptNodeOptions,
} from './choose-prompt-node.ts';
import {
	nodesOfLeastLoadedRegion,
	nodesOfRegion,
	type RegionNodes,
	type TriedTargets,
} from './region-nodes.ts';

/**
The next target of a request.
*/
export type UpstreamChoice =
	/**
	No server has capacity now, but one may have it soon.
	*/
	| Extract<LocalChoice, {kind: 'full'}>
	| {readonly kind: 'server'; readonly id: string}
	| {
			readonly kind: 'peer';
			readonly member: Member;
			readonly region: string;
	  }
	/**
	No backend server that may serve the request can be reached.
	*/
	| {readonly kind: 'none'};

/**
The region that a request goes to which finds the local one full.
*/
export type OverflowRegion =
	/**
	Nodes do not share the loads of regions directly.
	*/
	| {readonly kind: 'unknown'}
	/**
	No region that may serve the request has free slots.
	*/
	| {readonly kind: 'none'}
	| {readonly kind: 'region'; readonly region: string};

/**
Options of `createUpstreamChooser`.
*/
export type UpstreamChooserOptions = PromptNodeOptions & {
	readonly fleet: BackendFleet;
	/**
	Whether a request to a node can use an open, idle connection.
	*/
	readonly hasIdleConnection: (member: Member) => boolean;
	/**
	Returns the region to which a request is moved although this one may have capacity; undefined if it stays.
	*/
	readonly regionToMoveTo?: (exchange: Exchange) => string | undefined;
	/**
	Returns the region that a request goes to which finds this one full.
	*/
	readonly regionWithFreeSlots?: (
		exchange: Exchange,
		tried: TriedTargets,
	) => OverflowRegion;
	readonly random: Random;
};

/**
Chooses between the servers of the local region and the nodes of other regions.
*/
export type UpstreamChooser = (
	exchange: Exchange,
	tried: TriedTargets,
	placement: Placement,
	now: number,
) => UpstreamChoice;

// Cost of another region in addition to its load: the round trip, a cold prompt cache and the price of the traffic.
// With it, another region must be about two thirds emptier than this one.
const distanceCost = 0.7;
// Regions with a higher load per slot than this receive no overflow.
const maximumRemoteCost = 0.9;
// Difference to the load from which a region refuses a request. Its load may have risen since it was reported.
const urgencyMargin = 0.1;
// A region with this load per slot has no free slot, or only suspect servers.
const fullRegionCost = 1;
// Up to this cost, the local region serves the request regardless of the load of other regions.
const acceptableLocalCost = 1;

/**
Creates a chooser. It prefers the local region. It chooses another region if this one may not serve the route or has no
server, or if this one is full or clearly more loaded while the other has capacity.
*/
export const createUpstreamChooser = (
	options: UpstreamChooserOptions,
): UpstreamChooser => {
	const {localRegion, fleet, without} = options;

	// Prefers nodes with an idle connection, because opening one takes a round trip to the other region.
	const toPeer = ({members, region}: RegionNodes): UpstreamChoice => {
		const connected = members.filter((each) => options.hasIdleConnection(each));
		const candidates = connected.length > 0 ? connected : members;
		const member = candidates[options.random.below(candidates.length)]!;
		return {kind: 'peer', member, region};
	};

	return (exchange, tried, placement, now) => {
		// A forwarded request is never forwarded again, which rules out loops.
		const remoteHome = exchange.hop
			? undefined
			: choosePromptNode(options, exchange, tried, placement);
		if (remoteHome) {
			return toPeer(remoteHome);
		}

		const moved = nodesToMoveTo(options, exchange, tried, placement);
		if (moved) {
			return toPeer(moved);
		}

		const local: LocalChoice = isRegionAllowed(exchange.route, localRegion)
			? fleet.choose(placement, now)
			: {kind: 'none'};
		const isDecided =
			local.kind === 'server'
				? local.cost <= acceptableLocalCost
				: local.kind === 'full' && local.isAwaitingSlot === true;
		if (isDecided) {
			return local;
		}

		// A request that may have crashed servers here does not go to another region while this one has servers.
		const shouldStayLocal =
			placement.isIsolated === true && local.kind === 'full';
		const remote =
			shouldStayLocal || exchange.hop !== undefined
				? undefined
				: overflowNodes(options, exchange, tried, local);
		if (!remote) {
			return local;
		}

		const isRemoteBetter =
			local.kind === 'none' ||
			(isSilent(local) && remote.cost < fullRegionCost) ||
			(!without.has('overflow') &&
				remote.cost < maximumCostOf(options, exchange) &&
				(local.kind === 'full' || remote.cost + distanceCost < local.cost));
		return isRemoteBetter ? toPeer(remote) : local;
	};
};

const isSilent = (local: LocalChoice): boolean =>
	local.kind === 'full' && local.isSilent === true;

// If all nodes of a full region chose the one with the lowest reported load, they would fill it before the next report.
const overflowNodes = (
	options: UpstreamChooserOptions,
	exchange: Exchange,
	tried: TriedTargets,
	local: LocalChoice,
): RegionNodes | undefined => {
	const overflow: OverflowRegion = (local.kind === 'full' && !isSilent(local)
		? options.regionWithFreeSlots?.(exchange, tried)
		: undefined) ?? {kind: 'unknown'};
	switch (overflow.kind) {
		case 'unknown': {
			return nodesOfLeastLoadedRegion(options, exchange, tried);
		}

		case 'none': {
			return undefined;
		}

		case 'region': {
			return nodesOfRegion(options, overflow.region, exchange, tried);
		}
	}
};

// A region that would refuse the request because of its urgency is not asked: the request would cross the network for nothing.
const maximumCostOf = (
	{maximumRegionCost}: UpstreamChooserOptions,
	exchange: Exchange,
): number =>
	Math.min(
		maximumRemoteCost,
		(maximumRegionCost?.(exchange) ?? Infinity) - urgencyMargin,
	);

// A request is moved on its first try only. Long prompts stay with the servers that have their shared part cached.
const nodesToMoveTo = (
	options: UpstreamChooserOptions,
	exchange: Exchange,
	tried: TriedTargets,
	{sharedPart, isIsolated}: Placement,
): RegionNodes | undefined => {
	const canMove =
		exchange.hop === undefined &&
		sharedPart === undefined &&
		isIsolated !== true &&
		tried.regions.size === 0 &&
		tried.members.size === 0 &&
		!options.without.has('overflow');
	const region = canMove ? options.regionToMoveTo?.(exchange) : undefined;
	return region === undefined
		? undefined
		: nodesOfRegion(options, region, exchange, tried);
};
