import type {
	BackendFleet,
	LocalChoice,
	Placement,
	ServiceLoad,
} from '../backends/index.ts';
import type {Member} from '../membership/index.ts';
import {isRegionAllowed} from '../routes/index.ts';
import {rendezvousFirst, type Random} from '../shared/index.ts';
import type {Exchange} from './exchange.ts';
import type {PromptHolder} from './prompt-home.ts';

/**
Where a request goes next.
*/
export type UpstreamChoice =
	| {readonly kind: 'server'; readonly id: string}
	| {
			readonly kind: 'peer';
			readonly member: Member;
			readonly region: string;
	  }
	/**
	There is no room now, but there may be soon.
	*/
	| {readonly kind: 'full'}
	/**
	No backend server that may serve it can be reached.
	*/
	| {readonly kind: 'none'};

/**
What the choice is made from.
*/
export type UpstreamChooserOptions = {
	/**
	This node.
	*/
	readonly self: () => Member;
	readonly ownRegion: string;
	readonly fleet: BackendFleet;
	/**
	Nodes of a region that can be given work.
	*/
	readonly membersIn: (region: string) => readonly Member[];
	readonly regions: readonly string[];
	/**
	Load and room of a service in another region, as far as known.
	*/
	readonly loadIn: (region: string, service: string) => ServiceLoad;
	/**
	The backend server by which a shared prompt part is placed, with its region.
	*/
	readonly promptHome: (
		exchange: Exchange,
		part: string,
	) => PromptHolder | undefined;
	/**
	Whether a request to a node would need no new connection.
	*/
	readonly hasRestingConnection: (member: Member) => boolean;
	readonly random: Random;
};

/**
What a request has met so far.
*/
export type Tried = {
	/**
	Regions that refused it, and nodes that could not be reached.
	*/
	readonly regions: ReadonlySet<string>;
	readonly members: ReadonlySet<string>;
};

/**
Chooses between the own region and others.
*/
export type UpstreamChooser = (
	exchange: Exchange,
	tried: Tried,
	placement: Placement,
	now: number,
) => UpstreamChoice;

// What another region costs besides its load: the round trip, a cold prompt and the price of the
// bytes. With it, a region must be about two thirds emptier than the own one.
const distanceCost = 0.7;
// A region fuller than this is not sent more.
const fullestRemote = 0.9;
// A prompt goes to the region that holds it even when that is rather full: reading it anew would
// load the own region by as much.
const fullestHome = 1.3;
// Below this cost the own region serves whatever the others hold.
const comfortableCost = 1;

/**
Builds a chooser. The own region goes first; another one is chosen where the own may not serve
the route, has no server, or is full while the other has room.
*/
export const createUpstreamChooser = (
	options: UpstreamChooserOptions,
): UpstreamChooser => {
	const {ownRegion, fleet} = options;

	const remoteIn = (
		region: string,
		exchange: Exchange,
		tried: Tried,
	): Remote | undefined => {
		const isOpen =
			region !== ownRegion &&
			isRegionAllowed(exchange.route, region) &&
			!tried.regions.has(region);
		if (!isOpen) {
			return undefined;
		}

		const {load, slots} = options.loadIn(region, exchange.service);
		const members = options
			.membersIn(region)
			.filter(({id}) => !tried.members.has(id));
		return slots === 0 || members.length === 0
			? undefined
			: {region, members, cost: load / slots};
	};

	const leastLoaded = (
		exchange: Exchange,
		tried: Tried,
	): Remote | undefined => {
		let best: Remote | undefined;
		for (const region of options.regions) {
			const remote = remoteIn(region, exchange, tried);
			if (remote && (!best || remote.cost < best.cost)) {
				best = remote;
			}
		}

		return best;
	};

	// Undefined where it is this node, or the node of the own region has no room.
	const nodeNearby = (home: PromptHolder, tried: Tried): Remote | undefined => {
		const self = options.self();
		const others = options
			.membersIn(ownRegion)
			.filter(({id}) => !tried.members.has(id));
		const [node] = nodeFor(home, [self, ...others]);
		return !node || node.id === self.id || tried.regions.has(ownRegion)
			? undefined
			: {region: ownRegion, members: [node], cost: 0};
	};

	// Reading a long prompt again costs far more than the way to where it is kept.
	const homeOfPrompt = (
		exchange: Exchange,
		tried: Tried,
		{sharedPart}: Placement,
	): Remote | undefined => {
		const home = sharedPart && options.promptHome(exchange, sharedPart.id);
		if (home?.region === ownRegion) {
			return nodeNearby(home, tried);
		}

		const remote = home && remoteIn(home.region, exchange, tried);
		return remote && remote.cost < fullestHome
			? {...remote, members: nodeFor(home, remote.members)}
			: undefined;
	};

	// Opening a connection takes as long as the way to another region and back.
	const toPeer = ({members, region}: Remote): UpstreamChoice => {
		const connected = members.filter((each) =>
			options.hasRestingConnection(each),
		);
		const candidates = connected.length > 0 ? connected : members;
		const member = candidates[options.random.below(candidates.length)]!;
		return {kind: 'peer', member, region};
	};

	return (exchange, tried, placement, now) => {
		// A request that came from another node is never sent on: that rules out loops.
		const home = exchange.hop
			? undefined
			: homeOfPrompt(exchange, tried, placement);
		if (home) {
			return toPeer(home);
		}

		const local: LocalChoice = isRegionAllowed(exchange.route, ownRegion)
			? fleet.choose(placement, now)
			: {kind: 'none'};
		if (local.kind === 'server' && local.cost <= comfortableCost) {
			return local;
		}

		const remote = exchange.hop ? undefined : leastLoaded(exchange, tried);
		if (!remote) {
			return local;
		}

		const isRemoteBetter =
			local.kind === 'none' ||
			(remote.cost < fullestRemote &&
				(local.kind === 'full' || remote.cost + distanceCost < local.cost));
		return isRemoteBetter ? toPeer(remote) : local;
	};
};

type Remote = {
	readonly region: string;
	readonly members: readonly Member[];
	/**
	Its load by its room.
	*/
	readonly cost: number;
};

// Long prompts for one server go by way of one node of its region: it knows of all of them that are
// under way, and nodes with requests of their own would each see a server that has nothing to read.
const nodeFor = (
	{id: server}: PromptHolder,
	members: readonly Member[],
): readonly Member[] => {
	const node = rendezvousFirst(server, members, ({id}) => id);
	return node ? [node] : [];
};
