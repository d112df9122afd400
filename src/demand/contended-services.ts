import type {RouteDocument} from '../routes/index.ts';

/**
Minimum number of priorities within one service with which a document asks for decisions by urgency and by the demand of whole
regions.
*/
export const minimumUrgencyLevels = 3;

/**
Returns the distinct priorities of the routes of each service, in ascending order. Returns undefined if the document does not
ask for decisions by the demand of regions: no service has `minimumUrgencyLevels` of them.
*/
export const urgencyLevelsOf = ({
	routes,
}: RouteDocument): ReadonlyMap<string, readonly number[]> | undefined => {
	const levels = new Map<string, Set<number>>();
	for (const {services, priority} of routes) {
		for (const {service} of services) {
			const known = levels.get(service) ?? new Set();
			levels.set(service, known.add(priority));
		}
	}

	const isAsked = levels
		.values()
		.some((priorities) => priorities.size >= minimumUrgencyLevels);
	return isAsked
		? new Map(
				[...levels].map(([service, priorities]) => [
					service,
					[...priorities].toSorted((left, right) => left - right),
				]),
			)
		: undefined;
};

/**
Requests per node and server below which an equal share says too little: the number of a node's own requests then differs from
the mean of all nodes by a third or more.
*/
export const smallShare = 8;

/**
Whether the nodes of a region have to know each other's requests to judge how full a server is.

@param capacity Requests that all nodes together may have in flight at a server.
@param nodes Number of nodes that send to it.
*/
export const isShareSmall = (capacity: number, nodes: number): boolean =>
	capacity < nodes * smallShare;
