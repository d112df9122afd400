import type {
	BackendFleet,
	ServiceLoad,
	UpstreamClient,
} from '../../backends/index.ts';
import type {DisabledMechanisms} from '../../mechanisms/index.ts';
import type {Member} from '../../membership/index.ts';
import type {RegionBalance, RegionLoads} from '../../demand/index.ts';
import type {Mesh} from '../../mesh/index.ts';
import {isRegionAllowed} from '../../routes/index.ts';
import type {Random} from '../../shared/index.ts';
import type {Exchange} from '../exchange.ts';
import {peerConnectionKey} from '../delivery/index.ts';
import {
	createUpstreamChooser,
	type OverflowRegion,
	type UpstreamChooser,
} from './choose-upstream.ts';
import type {TriedTargets} from './region-nodes.ts';
import type {PlacementView} from './placement-view.ts';
import {findPromptHome, type PromptCandidate} from './prompt-home.ts';

/**
Chooses the targets of requests from what this node knows about other nodes and regions.
*/
export type GatewayChooser = {
	readonly choose: UpstreamChooser;
	/**
	Records that a node could not be reached. No requests go to it for `peerBackoffMs`.
	*/
	peerFailed(member: Member): void;
};

/**
Options of `createGatewayChooser`.
*/
export type GatewayChooserOptions = {
	/**
	The region of each availability zone.
	*/
	readonly zones: Readonly<Record<string, string>>;
	readonly regions: readonly string[];
	readonly localRegion: string;
	readonly mesh: Mesh;
	readonly fleet: BackendFleet;
	readonly placement: PlacementView;
	/**
	Whether a backend server is known to have a prompt part in its cache.
	*/
	readonly isCached: (server: string, part: string) => boolean;
	readonly client: Pick<UpstreamClient, 'hasIdleConnection'>;
	/**
	Loads of regions that nodes share directly, and the decisions about moves made from them.
	*/
	readonly demand: {
		readonly loads: RegionLoads;
		readonly balance: RegionBalance;
		/**
		Returns the multiple of its slots up to which an engine is filled by requests of a priority; undefined if the servers of
		the service are not filled by urgency.
		*/
		readonly capacityFactor: (
			service: string,
			priority: number,
		) => number | undefined;
	};
	readonly random: Random;
	readonly without: DisabledMechanisms;
	readonly clock: () => number;
};

// Time for which no requests go to a node that could not be reached, in milliseconds.
const peerBackoffMs = 1500;

/**
Creates the chooser of a node.
*/
export const createGatewayChooser = (
	options: GatewayChooserOptions,
): GatewayChooser => {
	const {mesh, clock} = options;
	const unreachableUntil = new Map<string, number>();
	const isReachable = ({id}: Member) =>
		(unreachableUntil.get(id) ?? 0) < clock();

	return {
		choose: createUpstreamChooser({
			self: mesh.self,
			localRegion: options.localRegion,
			fleet: options.fleet,
			membersIn: (region) =>
				mesh.usableIn(region).filter((each) => isReachable(each)),
			regions: options.regions,
			loadIn: (region, service) => loadIn(options, region, service),
			promptHome: (exchange, part) => promptHome(options, exchange, part),
			hasIdleConnection: (member) =>
				options.client.hasIdleConnection(peerConnectionKey(member)),
			maximumRegionCost: ({route, service}) =>
				options.demand.capacityFactor(service, route.priority),
			regionWithFreeSlots: (exchange, tried) =>
				regionWithFreeSlots(options, exchange, tried),
			regionToMoveTo: ({route, service}) =>
				options.demand.balance.regionFor(
					service,
					(region) => isRegionAllowed(route, region),
					clock(),
				),
			random: options.random,
			without: options.without,
		}),
		peerFailed({id}) {
			unreachableUntil.set(id, clock() + peerBackoffMs);
		},
	};
};

const regionWithFreeSlots = (
	{demand, localRegion, clock}: GatewayChooserOptions,
	{route, service}: Exchange,
	tried: TriedTargets,
): OverflowRegion => {
	const now = clock();
	if (!demand.loads.of(localRegion, service, now)) {
		return {kind: 'unknown'};
	}

	const region = demand.balance.regionWithFreeSlots(
		service,
		(each) => isRegionAllowed(route, each) && !tried.regions.has(each),
		now,
	);
	return region === undefined ? {kind: 'none'} : {kind: 'region', region};
};

// The load of a region is the load of its most loaded zone.
const loadIn = (
	{zones, placement, mesh, clock, demand}: GatewayChooserOptions,
	region: string,
	service: string,
): ServiceLoad => {
	const reported = demand.loads.of(region, service, clock());
	if (reported) {
		return reported;
	}

	let load = 0;
	const slots = placement.slotsIn(region, service);
	for (const [zone, zoneRegion] of Object.entries(zones)) {
		if (zoneRegion === region) {
			load = Math.max(load, mesh.loadIn(zone, service, clock())?.load ?? 0);
		}
	}

	return {load, slots};
};

// Prefers servers that have the part cached over those that would have to prefill it, and among the former those of
// the local region.
const promptHome = (
	{localRegion, placement, isCached}: GatewayChooserOptions,
	{route, service}: Exchange,
	part: string,
): PromptCandidate | undefined => {
	const candidates = placement
		.candidates(service)
		.filter(({region}) => isRegionAllowed(route, region));
	const cached = candidates.filter(({id}) => isCached(id, part));
	const local = cached.find(({region}) => region === localRegion);
	if (local) {
		return local;
	}

	return findPromptHome(
		part,
		cached.length > 0 ? cached : candidates,
		placement.weights(route),
	);
};
