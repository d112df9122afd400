import type {Placement} from '../../backends/index.ts';
import type {DisabledMechanisms} from '../../mechanisms/index.ts';
import type {Member} from '../../membership/index.ts';
import {rendezvousFirst} from '../../shared/index.ts';
import type {Exchange} from '../exchange.ts';
import type {PromptCandidate} from './prompt-home.ts';
import {
	nodesOfRegion,
	untriedIn,
	type RegionNodes,
	type RegionNodesOptions,
	type TriedTargets,
} from './region-nodes.ts';

/**
What the choice for a long prompt is made from.
*/
export type PromptNodeOptions = RegionNodesOptions & {
	readonly without: DisabledMechanisms;
	/**
	This node.
	*/
	readonly self: () => Member;
	/**
	The backend server by which a shared prompt part is placed, with its region.
	*/
	readonly promptHome: (
		exchange: Exchange,
		part: string,
	) => PromptCandidate | undefined;
};

// A prompt goes to the region that holds it even when that is rather full: reading it anew would
// load the own region by as much.
const fullestHome = 1.3;

/**
Chooses the other node by way of which a long prompt goes; undefined where it is placed as any other
request.

Reading a long prompt again costs far more than the way to where it is kept.
*/
export const choosePromptNode = (
	options: PromptNodeOptions,
	exchange: Exchange,
	tried: TriedTargets,
	{sharedPart}: Placement,
): RegionNodes | undefined => {
	const home =
		sharedPart && !options.without.has('prompt-homes')
			? options.promptHome(exchange, sharedPart.id)
			: undefined;
	if (home?.region === options.localRegion) {
		return nodeNearby(options, home, tried);
	}

	const remote = home && nodesOfRegion(options, home.region, exchange, tried);
	return remote && remote.cost < fullestHome
		? {...remote, members: nodesFor(options, home, remote.members)}
		: undefined;
};

// Undefined where it is this node, or the node of the own region has no room.
const nodeNearby = (
	options: PromptNodeOptions,
	home: PromptCandidate,
	tried: TriedTargets,
): RegionNodes | undefined => {
	const {localRegion, without} = options;
	// Where nodes tell each other what is still to be read, the way by one node spares nothing.
	if (without.has('prompt-nodes') || !without.has('told-reading')) {
		return undefined;
	}

	const self = options.self();
	const others = untriedIn(options, localRegion, tried);
	const [node] = nodesFor(options, home, [self, ...others]);
	return !node || node.id === self.id || tried.regions.has(localRegion)
		? undefined
		: {region: localRegion, members: [node], cost: 0};
};

// Long prompts for one server go by way of one node of its region: it knows of all of them that are
// under way, and nodes with requests of their own would each see a server that has nothing to read.
const nodesFor = (
	{without}: PromptNodeOptions,
	{id: server}: PromptCandidate,
	members: readonly Member[],
): readonly Member[] => {
	if (without.has('prompt-nodes')) {
		return members;
	}

	const node = rendezvousFirst(server, members, ({id}) => id);
	return node ? [node] : [];
};
