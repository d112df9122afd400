import {softwareVersionOf, type RegistryMirror} from '../../registry/index.ts';
import type {Route} from '../../routes/index.ts';
import {
	weighRegions,
	type PromptCandidate,
	type RegionWeights,
} from './prompt-home.ts';

/**
The backend servers of all regions, indexed by service and region.
*/
export type PlacementView = {
	/**
	Rebuilds the index. It must be called when the local copy of the registry has changed.
	*/
	refresh(): void;
	/**
	Returns the servers of a service in all regions, without those that are leaving or in an evacuated zone.
	*/
	candidates(service: string): readonly PromptCandidate[];
	/**
	Returns the number of requests of a service that the servers of a region can run at the same time.
	*/
	slotsIn(region: string, service: string): number;
	weights(route: Route): RegionWeights;
	/**
	Returns the regions in which no server of a service has this version of the software.
	*/
	regionsWithout(service: string, softwareVersion: string): ReadonlySet<string>;
};

/**
Options of `createPlacementView`.
*/
export type PlacementViewOptions = {
	readonly mirror: RegistryMirror;
	readonly regions: readonly string[];
	readonly regionOf: (availabilityZone: string) => string;
};

/**
Creates a view that is empty until its first `refresh`.
*/
export const createPlacementView = (
	options: PlacementViewOptions,
): PlacementView => {
	const {mirror, regions, regionOf} = options;
	const candidates = new Map<string, PromptCandidate[]>();
	const slots = new Map<string, number>();
	const weights = new Map<string, RegionWeights>();
	// By service and version.
	const regionsWith = new Map<string, Set<string>>();

	return {
		refresh() {
			candidates.clear();
			slots.clear();
			weights.clear();
			regionsWith.clear();
			for (const {server} of mirror.servers().values()) {
				const {id, service, availabilityZone} = server;
				if (server.isLeaving || mirror.isEvacuated(availabilityZone)) {
					continue;
				}

				const region = regionOf(availabilityZone);
				const versionKey = `${service}/${softwareVersionOf(server)}`;
				const withVersion = regionsWith.get(versionKey) ?? new Set();
				regionsWith.set(versionKey, withVersion.add(region));
				const key = `${region}/${service}`;
				slots.set(key, (slots.get(key) ?? 0) + server.slots);
				const ofService = candidates.get(service) ?? [];
				ofService.push({id, region});
				candidates.set(service, ofService);
			}
		},
		candidates: (service) => candidates.get(service) ?? [],
		slotsIn: (region, service) => slots.get(`${region}/${service}`) ?? 0,
		weights(route) {
			const known = weights.get(route.name);
			if (known) {
				return known;
			}

			const routes = mirror.routes()?.document.routes ?? [];
			const computed = weighRegions(route, routes, regions);
			weights.set(route.name, computed);
			return computed;
		},
		regionsWithout: (service, softwareVersion) =>
			new Set(
				regions.filter(
					(region) =>
						!regionsWith.get(`${service}/${softwareVersion}`)?.has(region),
				),
			),
	};
};
