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
Options of `choosePromptNode`.
*/
export type PromptNodeOptions = RegionNodesOptions & {
	readonly without: DisabledMechanisms;
	/**
	The membership entry of this node.
	*/
	readonly self: () => Member;
	/**
	Finds the home of a shared prompt part: the backend server that is to have it in its cache.
	*/
	readonly promptHome: (
		exchange: Exchange,
		part: string,
	) => PromptCandidate | undefined;
	/**
	Returns the load per slot from which a region refuses a request of this urgency; undefined if its servers are not filled by
	urgency.
	*/
	readonly maximumRegionCost?: (exchange: Exchange) => number | undefined;
};

// A prompt is not forwarded to a home region with a higher load per slot than this. The bound exceeds 1 because
// prefilling the prompt in the local region would add as much load here.
const maximumHomeCost = 1.3;

// The same where engines are filled by urgency. Holders of a shared part take its prompts until all their slots are in use; a
// region that would refuse the prompt is not asked.
const maximumHolderCost = 0.95;

/**
Chooses the nodes to which a request with a long prompt is forwarded. Returns undefined if the request is placed
like any other.

Prefilling a long prompt again costs far more than forwarding the request to the server that has it cached.
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
		return nodeInLocalRegion(options, home, tried);
	}

	const remote = home && nodesOfRegion(options, home.region, exchange, tried);
	const maximumCost = Math.min(
		maximumHomeCost,
		Math.max(
			maximumHolderCost,
			options.maximumRegionCost?.(exchange) ?? Infinity,
		),
	);
	return remote && remote.cost < maximumCost
		? {...remote, members: nodesFor(options, home, remote.members)}
		: undefined;
};

// Returns undefined if the chosen node is this one, or if the local region has refused the request.
const nodeInLocalRegion = (
	options: PromptNodeOptions,
	home: PromptCandidate,
	tried: TriedTargets,
): RegionNodes | undefined => {
	const {localRegion, without} = options;
	// If nodes exchange their prefill backlogs, there is no gain in forwarding to a single node.
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

// Sends all long prompts for a server through one node of its region, because that node knows all of them that are
// in flight. If several nodes sent them, each would see a server without a prefill backlog.
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
