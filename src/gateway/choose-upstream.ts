import type {BackendFleet, Placement, ServiceLoad} from '../backends/index.ts';
import type {Member} from '../membership/index.ts';
import type {Random} from '../shared/index.ts';
import type {Exchange} from './exchange.ts';

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

	const isAllowed = ({route}: Exchange, region: string) =>
		route.homeRegions.length === 0 || route.homeRegions.includes(region);

	const remoteFor = (
		exchange: Exchange,
		tried: Tried,
	):
		| {
				readonly region: string;
				readonly member: Member;
				readonly cost: number;
		  }
		| undefined => {
		let best: ReturnType<typeof remoteFor>;
		for (const region of options.regions) {
			if (
				region === ownRegion ||
				!isAllowed(exchange, region) ||
				tried.regions.has(region)
			) {
				continue;
			}

			const {load, slots} = options.loadIn(region, exchange.service);
			const members = options
				.membersIn(region)
				.filter(({id}) => !tried.members.has(id));
			if (slots === 0 || members.length === 0) {
				continue;
			}

			const cost = load / slots;
			if (!best || cost < best.cost) {
				const member = members[options.random.below(members.length)]!;
				best = {region, member, cost};
			}
		}

		return best;
	};

	return (exchange, tried, placement, now) => {
		const isLocalAllowed = isAllowed(exchange, ownRegion);
		const local = isLocalAllowed
			? fleet.choose(placement, now)
			: ({kind: 'none'} as const);
		if (local.kind === 'server' && local.cost <= comfortableCost) {
			return local;
		}

		// A request that came from another node is never sent on: that rules out loops.
		const remote = exchange.hop ? undefined : remoteFor(exchange, tried);
		if (!remote) {
			return local;
		}

		const isRemoteBetter =
			local.kind === 'none' ||
			(remote.cost < fullestRemote &&
				(local.kind === 'full' || remote.cost + distanceCost < local.cost));
		return isRemoteBetter
			? {kind: 'peer', member: remote.member, region: remote.region}
			: local;
	};
};
