import type {
	BackendFleet,
	ServiceLoad,
	UpstreamClient,
} from '../../backends/index.ts';
import type {Without} from '../../mechanisms/index.ts';
import type {Member} from '../../membership/index.ts';
import type {Mesh} from '../../mesh/index.ts';
import {isRegionAllowed} from '../../routes/index.ts';
import type {Random} from '../../shared/index.ts';
import type {Exchange} from '../exchange.ts';
import {peerKey} from '../delivery/index.ts';
import {
	createUpstreamChooser,
	type UpstreamChooser,
} from './choose-upstream.ts';
import type {PlacementView} from './placement-view.ts';
import {findPromptHome, type PromptHolder} from './prompt-home.ts';

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
	readonly ownRegion: string;
	readonly mesh: Mesh;
	readonly fleet: BackendFleet;
	readonly placement: PlacementView;
	/**
	Whether a backend server is known to keep a prompt part.
	*/
	readonly keeps: (server: string, part: string) => boolean;
	readonly client: Pick<UpstreamClient, 'hasRestingConnection'>;
	readonly random: Random;
	readonly without: Without;
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
			ownRegion: options.ownRegion,
			fleet: options.fleet,
			membersIn: (region) =>
				mesh.usableIn(region).filter((each) => isReachable(each)),
			regions: options.regions,
			loadIn: (region, service) => loadIn(options, region, service),
			promptHome: (exchange, part) => promptHome(options, exchange, part),
			hasRestingConnection: (member) =>
				options.client.hasRestingConnection(peerKey(member)),
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
	{ownRegion, placement, keeps}: GatewayChooserOptions,
	{route, service}: Exchange,
	part: string,
): PromptHolder | undefined => {
	const holders = placement
		.holders(service)
		.filter(({region}) => isRegionAllowed(route, region));
	const keepers = holders.filter(({id}) => keeps(id, part));
	const near = keepers.find(({region}) => region === ownRegion);
	if (near) {
		return near;
	}

	return findPromptHome(
		part,
		keepers.length > 0 ? keepers : holders,
		placement.weights(route),
	);
};
