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
	type RegionNodes,
	type TriedTargets,
} from './region-nodes.ts';

/**
Where a request goes next.
*/
export type UpstreamChoice =
	/**
	There is no room now, but there may be soon.
	*/
	| Extract<LocalChoice, {kind: 'full'}>
	| {readonly kind: 'server'; readonly id: string}
	| {
			readonly kind: 'peer';
			readonly member: Member;
			readonly region: string;
	  }
	/**
	No backend server that may serve it can be reached.
	*/
	| {readonly kind: 'none'};

/**
What the choice is made from.
*/
export type UpstreamChooserOptions = PromptNodeOptions & {
	readonly fleet: BackendFleet;
	/**
	Whether a request to a node would need no new connection.
	*/
	readonly hasIdleConnection: (member: Member) => boolean;
	readonly random: Random;
};

/**
Chooses between the own region and others.
*/
export type UpstreamChooser = (
	exchange: Exchange,
	tried: TriedTargets,
	placement: Placement,
	now: number,
) => UpstreamChoice;

// What another region costs besides its load: the round trip, a cold prompt and the price of the
// bytes. With it, a region must be about two thirds emptier than the own one.
const distanceCost = 0.7;
// A region fuller than this is not sent more.
const fullestRemote = 0.9;
// Below this cost the own region serves whatever the others hold.
const comfortableCost = 1;

/**
Builds a chooser. The own region goes first; another one is chosen where the own may not serve
the route, has no server, or is full while the other has room.
*/
export const createUpstreamChooser = (
	options: UpstreamChooserOptions,
): UpstreamChooser => {
	const {localRegion, fleet, without} = options;

	// Opening a connection takes as long as the way to another region and back.
	const toPeer = ({members, region}: RegionNodes): UpstreamChoice => {
		const connected = members.filter((each) => options.hasIdleConnection(each));
		const candidates = connected.length > 0 ? connected : members;
		const member = candidates[options.random.below(candidates.length)]!;
		return {kind: 'peer', member, region};
	};

	return (exchange, tried, placement, now) => {
		// A request that came from another node is never sent on: that rules out loops.
		const home = exchange.hop
			? undefined
			: choosePromptNode(options, exchange, tried, placement);
		if (home) {
			return toPeer(home);
		}

		const local: LocalChoice = isRegionAllowed(exchange.route, localRegion)
			? fleet.choose(placement, now)
			: {kind: 'none'};
		if (local.kind === 'server' && local.cost <= comfortableCost) {
			return local;
		}

		// What may have crashed servers here is not carried to another region while there are servers here.
		const isKeptHere = placement.isIsolated === true && local.kind === 'full';
		const remote =
			isKeptHere || exchange.hop !== undefined
				? undefined
				: nodesOfLeastLoadedRegion(options, exchange, tried);
		if (!remote) {
			return local;
		}

		const isRemoteBetter =
			local.kind === 'none' ||
			(!without.has('overflow') &&
				remote.cost < fullestRemote &&
				(local.kind === 'full' || remote.cost + distanceCost < local.cost));
		return isRemoteBetter ? toPeer(remote) : local;
	};
};
