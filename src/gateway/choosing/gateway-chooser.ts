import type {
	BackendFleet,
	ServiceLoad,
	UpstreamClient,
} from '../../backends/index.ts';
import type {DisabledMechanisms} from '../../mechanisms/index.ts';
import type {Member} from '../../membership/index.ts';
import type {Mesh} from '../../mesh/index.ts';
import {isRegionAllowed} from '../../routes/index.ts';
import type {Random} from '../../shared/index.ts';
import type {Exchange} from '../exchange.ts';
import {peerConnectionKey} from '../delivery/index.ts';
import {
	createUpstreamChooser,
	type UpstreamChooser,
} from './choose-upstream.ts';
import type {PlacementView} from './placement-view.ts';
import {findPromptHome, type PromptCandidate} from './prompt-home.ts';

/**
Chooses where requests go, by what this node knows of other nodes and regions.
*/
export type GatewayChooser = {
	readonly choose: UpstreamChooser;
	/**
	Says that a node could not be reached; it is sent nothing for a while.
	*/
	peerFailed(member: Member): void;
};

/**
What the choice is made from.
*/
export type GatewayChooserOptions = {
	/**
	All availability zones and their regions.
	*/
	readonly zones: Readonly<Record<string, string>>;
	readonly regions: readonly string[];
	readonly localRegion: string;
	readonly mesh: Mesh;
	readonly fleet: BackendFleet;
	readonly placement: PlacementView;
	/**
	Whether a backend server is known to keep a prompt part.
	*/
	readonly isCached: (server: string, part: string) => boolean;
	readonly client: Pick<UpstreamClient, 'hasIdleConnection'>;
	readonly random: Random;
	readonly without: DisabledMechanisms;
	readonly clock: () => number;
};

// How long a node that could not be reached is sent nothing, in milliseconds.
const peerPauseMs = 1500;

/**
Builds the chooser of one node.
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
			random: options.random,
			without: options.without,
		}),
		peerFailed({id}) {
			unreachableUntil.set(id, clock() + peerPauseMs);
		},
	};
};

// The load of a region is that of its fullest zone.
const loadIn = (
	{zones, placement, mesh, clock}: GatewayChooserOptions,
	region: string,
	service: string,
): ServiceLoad => {
	let load = 0;
	const slots = placement.slotsIn(region, service);
	for (const [zone, zoneRegion] of Object.entries(zones)) {
		if (zoneRegion === region) {
			load = Math.max(load, mesh.loadIn(zone, service, clock())?.load ?? 0);
		}
	}

	return {load, slots};
};

// Servers that keep the part go before those that would have to read it, the own region's first.
const promptHome = (
	{localRegion, placement, isCached}: GatewayChooserOptions,
	{route, service}: Exchange,
	part: string,
): PromptCandidate | undefined => {
	const holders = placement
		.candidates(service)
		.filter(({region}) => isRegionAllowed(route, region));
	const keepers = holders.filter(({id}) => isCached(id, part));
	const near = keepers.find(({region}) => region === localRegion);
	if (near) {
		return near;
	}

	return findPromptHome(
		part,
		keepers.length > 0 ? keepers : holders,
		placement.weights(route),
	);
};
