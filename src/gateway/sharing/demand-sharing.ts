import {
	sharedCapacityOf,
	type BackendFleet,
	type ServerInUse,
} from '../../backends/index.ts';
import {
	comfortableUtilization,
	createNodeCapacities,
	createRegionBalance,
	createRegionLoads,
	createRequestSums,
	gradedCapacityFactor,
	isShareSmall,
	plainKeptUtilization,
	type RegionBalance,
	type RegionLoad,
	type RegionLoads,
	type ServerRequests,
} from '../../demand/index.ts';
import type {Logger} from '../../logging/index.ts';
import type {DisabledMechanisms} from '../../mechanisms/index.ts';
import {createZoneRoleHolders, type Member} from '../../membership/index.ts';
import type {Mesh} from '../../mesh/index.ts';
import type {DemandMessage} from '../../peers/demand-messages.ts';
import type {RouteTable} from '../../routes/index.ts';

/**
Shares the requests in flight at backend servers with the other nodes of the region, and the loads of regions with all nodes.
*/
export type DemandSharing = {
	/**
	The distinct priorities of a service's routes in ascending order, if its servers are filled by urgency.
	*/
	urgencyLevels(service: string): readonly number[] | undefined;
	/**
	Returns the multiple of its slots up to which an engine is filled by requests of a priority; undefined if the servers of the
	service are not filled by urgency.
	*/
	capacityFactor(service: string, priority: number): number | undefined;
	/**
	Processes a message of another node.
	*/
	receive(message: DemandMessage, now: number): void;
	/**
	Sends this node's requests once the interval has passed; called at each tick.
	*/
	tick(now: number): void;
	/**
	Returns the capacity of a node of this node's zone, if it reported one recently.
	*/
	capacityOf(node: string, now: number): number | undefined;
	readonly loads: RegionLoads;
	readonly balance: RegionBalance;
};

/**
Options of `createDemandSharing`.
*/
export type DemandSharingOptions = {
	readonly mesh: Pick<Mesh, 'self' | 'usable' | 'send'>;
	readonly localRegion: string;
	readonly regionOf: (availabilityZone: string) => string;
	readonly routes: () =>
		Pick<RouteTable, 'urgencyLevels' | 'service'> | undefined;
	readonly fleet: Pick<BackendFleet, 'requestsAt' | 'recordPeerRequests'>;
	/**
	Number of nodes of the region that serve requests, including this one.
	*/
	readonly nodesServing: () => number;
	/**
	Requests a second that this node carries; undefined if it does not know them.
	*/
	readonly ownCapacity: () => number | undefined;
	readonly randomFraction: () => number;
	readonly without: DisabledMechanisms;
	readonly logger: Logger;
};

/**
Interval at which nodes report their requests, in milliseconds. A peak that arrives within a second is seen by all nodes before
engines have finished the requests that they run.
*/
export const demandIntervalMs = 400;

/**
Fraction of the nodes of a zone that have to report before their sum is used. A node that has just become the holder would
otherwise report servers as free.
*/
export const minimumCoverage = 0.5;

// The holder of this role adds up the requests of its zone.
const role = 'demand';

/**
Creates the sharing of one node. A node sends one report an interval to the holder of its zone, whatever the number of nodes.
*/
export const createDemandSharing = ({
	mesh,
	localRegion,
	regionOf,
	routes,
	fleet,
	nodesServing,
	ownCapacity,
	randomFraction,
	without,
	logger,
}: DemandSharingOptions): DemandSharing => {
	// Reports of the nodes of the own zone, and of the other zones of the region; used by the holder.
	const nodeSums = createRequestSums();
	const zoneSums = createRequestSums();
	const holders = createZoneRoleHolders(role, mesh.self, mesh.usable);
	const loads = createRegionLoads();
	const balance = createRegionBalance({
		localRegion,
		loads,
		keptUtilization: (service) =>
			isEngine(service) ? comfortableUtilization : plainKeptUtilization,
		randomFraction,
		onChange(service, fraction) {
			const local = loads.of(localRegion, service, lastTickAt);
			logger.info(
				{
					service,
					fraction: Math.round(fraction * 100) / 100,
					load: Math.round(local?.load ?? 0),
					slots: local?.slots ?? 0,
				},
				'fraction of requests that is moved to other regions changed',
			);
		},
	});
	const capacities = createNodeCapacities();
	let reported: ReadonlyMap<string, number> = new Map();
	let nextAt = 0;
	let lastTickAt = 0;

	const isInOwnZone = ({availabilityZone}: Member) =>
		availabilityZone === mesh.self().availabilityZone;

	const isEngine = (service: string): boolean =>
		routes()?.service(service)?.engine !== undefined;

	const isShared = (service: string, servers: readonly ServerInUse[]) => {
		const slots = Math.max(0, ...servers.map((server) => server.slots));
		return isShareSmall(
			sharedCapacityOf(slots, isEngine(service)),
			nodesServing(),
		);
	};

	const sharedServices = (): ReadonlyMap<string, readonly ServerInUse[]> => {
		const levels = without.has('regional-demand')
			? undefined
			: routes()?.urgencyLevels;
		return new Map(
			[...(levels?.keys() ?? [])]
				.map((service) => [service, fleet.requestsAt(service)] as const)
				.filter(([service, servers]) => isShared(service, servers)),
		);
	};

	let shared = sharedServices();

	const applyTotals = (requests: readonly ServerRequests[], now: number) => {
		const totals = new Map(
			requests.map((each) => [each.server, each.requests]),
		);
		const othersAt = ({id}: ServerInUse) =>
			Math.max(0, totals.get(id)! - (reported.get(id) ?? 0));
		for (const [service, servers] of shared) {
			const stated = servers.filter(({id}) => totals.has(id));
			const others = new Map(
				stated.map((server) => [server.id, othersAt(server)]),
			);
			if (others.size > 0) {
				fleet.recordPeerRequests(service, others, now);
			}
		}
	};

	// The nodes of a zone that have not reported are assumed to have as many requests as the others.
	const zoneScale = (): number | undefined => {
		const nodes =
			1 + mesh.usable().filter((member) => isInOwnZone(member)).length;
		const coverage = nodeSums.sources() / nodes;
		return coverage < minimumCoverage ? undefined : 1 / Math.min(1, coverage);
	};

	// A silent zone with usable nodes is assumed to have as many requests as the mean of the others.
	const regionScale = (): number => {
		const zones = new Set(
			mesh
				.usable()
				.map(({availabilityZone}) => availabilityZone)
				.filter((zone) => regionOf(zone) === localRegion),
		);
		zones.delete(mesh.self().availabilityZone);
		const heard = [...zones].filter((zone) => zoneSums.has(zone)).length;
		return (1 + zones.size) / (1 + heard);
	};

	const isInRegion = ({availabilityZone}: Member) =>
		regionOf(availabilityZone) === localRegion;

	const loadsOf = (requests: readonly ServerRequests[]): RegionLoad[] => {
		const totals = new Map(
			requests.map((each) => [each.server, each.requests]),
		);
		return [...shared].map(([service, servers]) => ({
			region: localRegion,
			service,
			load: servers.reduce((sum, {id}) => sum + totals.get(id)!, 0),
			slots: servers.reduce((sum, {slots}) => sum + slots, 0),
		}));
	};

	const sendToOtherZones = (
		ofZone: readonly ServerRequests[],
		ownLoads: readonly RegionLoad[],
	) => {
		const {id, availabilityZone} = mesh.self();
		const others = holders()
			.values()
			.filter((holder) => !isInOwnZone(holder))
			.toArray();
		mesh.send(
			others.filter((holder) => isInRegion(holder)),
			{kind: 'demand-zone', from: availabilityZone, requests: ofZone},
		);
		mesh.send(
			others.filter((holder) => !isInRegion(holder)),
			{kind: 'demand-regions', from: id, loads: ownLoads},
		);
	};

	const sendToOwnZone = (requests: readonly ServerRequests[], now: number) => {
		const from = mesh.self().id;
		const nodes = mesh.usable().filter((member) => isInOwnZone(member));
		mesh.send(nodes, {kind: 'demand-totals', from, requests});
		mesh.send(nodes, {
			kind: 'demand-regions',
			from,
			loads: loads.recent(now),
		});
		mesh.send(nodes, {
			kind: 'node-capacities',
			from,
			capacities: capacities.recent(now),
		});
	};

	const sendTotals = (now: number) => {
		nodeSums.expire(now);
		zoneSums.expire(now);
		const scale = zoneScale();
		if (scale === undefined) {
			return;
		}

		const spread = regionScale();
		const ids = shared
			.values()
			.toArray()
			.flat()
			.map(({id}) => id);
		const ofZone = ids.map((server) => ({
			server,
			requests: nodeSums.at(server) * scale,
		}));
		const ofRegion = ofZone.map(({server, requests}) => ({
			server,
			requests: (requests + zoneSums.at(server)) * spread,
		}));
		const ownLoads = loadsOf(ofRegion);
		loads.record(ownLoads, now);
		sendToOtherZones(ofZone, ownLoads);
		sendToOwnZone(ofRegion, now);
		applyTotals(ofRegion, now);
		balance.update(now);
	};

	const report = (now: number) => {
		const counts = new Map(
			shared
				.values()
				.toArray()
				.flat()
				.map(({id, inFlight}) => [id, inFlight]),
		);
		// A server without requests is reported once more, so that its earlier count is replaced.
		const requests = [...counts]
			.filter(([id, count]) => count > 0 || (reported.get(id) ?? 0) > 0)
			.map(([server, count]) => ({server, requests: count}));
		reported = counts;
		const {id, availabilityZone} = mesh.self();
		const holder = holders().get(availabilityZone);
		const capacity = ownCapacity();
		const ownCapacities = capacity === undefined ? [] : [{node: id, capacity}];
		capacities.record(ownCapacities, now);
		if (holder === undefined || holder.id === id) {
			nodeSums.record(id, requests, now);
			sendTotals(now);
		} else {
			mesh.send([holder], {kind: 'demand-node', from: id, requests});
			mesh.send([holder], {
				kind: 'node-capacities',
				from: id,
				capacities: ownCapacities,
			});
		}
	};

	const urgencyLevels = (service: string) =>
		shared.has(service) ? routes()?.urgencyLevels?.get(service) : undefined;

	return {
		urgencyLevels,
		capacityFactor(service, priority) {
			const levels = isEngine(service) ? urgencyLevels(service) : undefined;
			return levels && gradedCapacityFactor(levels, priority);
		},
		receive(message, now) {
			switch (message.kind) {
				case 'demand-node': {
					nodeSums.record(message.from, message.requests, now);
					return;
				}

				case 'demand-zone': {
					zoneSums.record(message.from, message.requests, now);
					return;
				}

				case 'demand-totals': {
					applyTotals(message.requests, now);
					return;
				}

				case 'node-capacities': {
					capacities.record(message.capacities, now);
					return;
				}

				case 'demand-regions': {
					loads.record(message.loads, now);
					// The holder of the own zone states the load of the own region, too. Other messages come from other regions.
					if (message.loads.some(({region}) => region === localRegion)) {
						balance.update(now);
					}
				}
			}
		},
		tick(now) {
			if (now < nextAt) {
				return;
			}

			nextAt = now + demandIntervalMs;
			lastTickAt = now;
			shared = sharedServices();
			if (shared.size > 0) {
				report(now);
			}
		},
		capacityOf: (node, now) =>
			shared.size === 0 ? undefined : capacities.of(node, now),
		loads,
		balance,
	};
};
