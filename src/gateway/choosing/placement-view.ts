import type {RegistryMirror} from '../../registry/index.ts';
import type {Route} from '../../routes/index.ts';
import {
	weighRegions,
	type PromptCandidate,
	type RegionWeights,
} from './prompt-home.ts';

/**
The backend servers of all regions, grouped for the choice between regions.
*/
export type PlacementView = {
	/**
	To be called when the registry's copy has changed.
	*/
	refresh(): void;
	/**
	Servers of a service that may be used, in all regions.
	*/
	candidates(service: string): readonly PromptCandidate[];
	/**
	Requests that the servers of a region run at the same time.
	*/
	slotsIn(region: string, service: string): number;
	weights(route: Route): RegionWeights;
};

/**
What a view is built from.
*/
export type PlacementViewOptions = {
	readonly mirror: RegistryMirror;
	readonly regions: readonly string[];
	readonly regionOf: (availabilityZone: string) => string;
};

/**
Builds an empty view.
*/
export const createPlacementView = (
	options: PlacementViewOptions,
): PlacementView => {
	const {mirror, regionOf} = options;
	const holders = new Map<string, PromptCandidate[]>();
	const slots = new Map<string, number>();
	const weights = new Map<string, RegionWeights>();

	return {
		refresh() {
			holders.clear();
			slots.clear();
			weights.clear();
			for (const {server} of mirror.servers().values()) {
				const {id, service, availabilityZone} = server;
				if (server.isLeaving || mirror.isEvacuated(availabilityZone)) {
					continue;
				}

				const region = regionOf(availabilityZone);
				const key = `${region}/${service}`;
				slots.set(key, (slots.get(key) ?? 0) + server.slots);
				const held = holders.get(service) ?? [];
				held.push({id, region});
				holders.set(service, held);
			}
		},
		candidates: (service) => holders.get(service) ?? [],
		slotsIn: (region, service) => slots.get(`${region}/${service}`) ?? 0,
		weights(route) {
			const known = weights.get(route.name);
			if (known) {
				return known;
			}

			const routes = mirror.routes()?.document.routes ?? [];
			const weighed = weighRegions(route, routes, options.regions);
			weights.set(route.name, weighed);
			return weighed;
		},
	};
};
