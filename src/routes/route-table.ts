import {createClientDirectory, type ClientDirectory} from '../clients/index.ts';
import {urgencyLevelsOf} from '../demand/contended-services.ts';
import {encodePath, keyedWeight} from '../shared/index.ts';
import type {Route, RouteDocument, Service} from './route.ts';

/**
Index of the routes, services and client accounts of a route document.
*/
export type RouteTable = {
	readonly document: RouteDocument;
	/**
	Returns the host's route with the longest path prefix that matches.
	*/
	match(host: string, path: string): Route | undefined;
	service(name: string): Service | undefined;
	/**
	Distinct priorities of all routes in ascending order.
	*/
	readonly priorities: readonly number[];
	/**
	Distinct priorities of each service's routes in ascending order; undefined if the document does not ask for decisions by the
	demand of regions.
	*/
	readonly urgencyLevels: ReadonlyMap<string, readonly number[]> | undefined;
	/**
	Client accounts; undefined if callers need no key.
	*/
	readonly clients: ClientDirectory | undefined;
};

/**
Creates the route table of a document.
*/
export const createRouteTable = (document: RouteDocument): RouteTable => {
	const byHost = new Map<string, Map<string, Route>>();
	for (const route of document.routes) {
		const host = route.host.toLowerCase();
		const routes = byHost.get(host) ?? new Map<string, Route>();
		routes.set(encodePath(route.pathPrefix), route);
		byHost.set(host, routes);
	}

	const services = new Map(
		document.services.map((service) => [service.name, service]),
	);

	return {
		document,
		match(host, path) {
			const routes = byHost.get(hostName(host));
			return routes && longestPrefix(routes, pathOnly(path));
		},
		service: (name) => services.get(name),
		priorities: [
			...new Set(document.routes.map(({priority}) => priority)),
		].toSorted((left, right) => left - right),
		urgencyLevels: urgencyLevelsOf(document),
		clients:
			document.clients &&
			createClientDirectory(document.clients, document.routes),
	};
};

/**
Selects the service of a request by weight. The result depends only on the route and the request id.
*/
export const pickService = (route: Route, requestId: string): string => {
	const {services} = route;
	if (services.length === 1) {
		return services[0]!.service;
	}

	const totalWeight = services.reduce((sum, {weight}) => sum + weight, 0);
	const position =
		(keyedWeight(requestId)(route.name) / hashRange) * Math.max(totalWeight, 1);
	let cumulativeWeight = 0;
	for (const {service, weight} of services) {
		cumulativeWeight += weight;
		if (position < cumulativeWeight) {
			return service;
		}
	}

	return services.at(-1)!.service;
};

const hashRange = 2 ** 32;

// Every prefix ends with a slash, so only the path up to each slash is looked up. The cost depends on the
// depth of the path, not on the number of routes.
const longestPrefix = (
	routes: ReadonlyMap<string, Route>,
	path: string,
): Route | undefined => {
	for (
		let end = path.lastIndexOf('/');
		end !== -1;
		end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)
	) {
		const found = routes.get(path.slice(0, end + 1));
		if (found) {
			return found;
		}
	}

	return undefined;
};

const hostName = (host: string): string => {
	const colon = host.lastIndexOf(':');
	return (colon === -1 ? host : host.slice(0, colon)).toLowerCase();
};

const pathOnly = (target: string): string => {
	const query = target.indexOf('?');
	return query === -1 ? target : target.slice(0, query);
};
