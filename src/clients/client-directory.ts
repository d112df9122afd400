import type {Route} from '../routes/route.ts';
import type {ClientAccount} from './client-account.ts';

/**
Index of the client accounts of one configuration.
*/
export type ClientDirectory = {
	readonly all: readonly ClientAccount[];
	/**
	Whether at least one account has a limit.
	*/
	readonly hasLimits: boolean;
	/**
	Returns the account that a key belongs to.

	@param keyDigest SHA-256 digest of the key, in hexadecimal.
	*/
	byKey(keyDigest: string): ClientAccount | undefined;
	byName(name: string): ClientAccount | undefined;
	/**
	Returns the route restricted to an account: only regions that both allow, with a priority that combines
	both. Returns undefined if no region may serve the account on the route.
	*/
	bind(route: Route, client: ClientAccount): Route | undefined;
};

/**
Creates the directory of one configuration. A key that occurs in two accounts belongs to the later one.
*/
export const createClientDirectory = (
	clients: readonly ClientAccount[],
	routes: readonly Route[],
): ClientDirectory => {
	const byKey = new Map(
		clients.flatMap((client) =>
			client.keyDigests.map((digest) => [digest, client] as const),
		),
	);
	const byName = new Map(clients.map((client) => [client.name, client]));
	const rankOf = createRanks(clients, routes);
	// Caches bound routes per account and computes them on first use, because there may be hundreds of accounts
	// and hundreds of routes.
	const boundRoutes = new Map<string, Map<string, Route | undefined>>();

	const boundRoutesOf = (client: ClientAccount) => {
		const clientRoutes =
			boundRoutes.get(client.name) ?? new Map<string, Route | undefined>();
		boundRoutes.set(client.name, clientRoutes);
		return clientRoutes;
	};

	return {
		all: clients,
		hasLimits: clients.some(({limit}) => limit !== undefined),
		byKey: (keyDigest) => byKey.get(keyDigest),
		byName: (name) => byName.get(name),
		bind(route, client) {
			const clientRoutes = boundRoutesOf(client);
			if (!clientRoutes.has(route.name)) {
				clientRoutes.set(
					route.name,
					bindRoute(route, client, rankOf(route, client)),
				);
			}

			return clientRoutes.get(route.name);
		},
	};
};

const bindRoute = (
	route: Route,
	client: ClientAccount,
	priority: number,
): Route | undefined => {
	const homeRegions = intersectHomeRegions(
		route.homeRegions,
		client.homeRegions,
	);
	return homeRegions && {...route, homeRegions, priority};
};

// An empty list means all regions, so the result is undefined if two lists have no region in common.
const intersectHomeRegions = (
	left: readonly string[],
	right: readonly string[],
): readonly string[] | undefined => {
	if (left.length === 0 || right.length === 0) {
		return left.length === 0 ? right : left;
	}

	const shared = left.filter((region) => right.includes(region));
	return shared.length === 0 ? undefined : shared;
};

// Ranks by the priority of the account, then by the priority of the route. Backend servers distinguish only a few
// ranks, so the possible pairs are numbered without gaps.
const createRanks = (
	clients: readonly ClientAccount[],
	routes: readonly Route[],
) => {
	const clientRanks = distinctAscending(clients.map(({priority}) => priority));
	const routeRanks = distinctAscending(routes.map(({priority}) => priority));
	return (route: Route, client: ClientAccount): number =>
		clientRanks.indexOf(client.priority) * routeRanks.length +
		Math.max(0, routeRanks.indexOf(route.priority));
};

const distinctAscending = (values: readonly number[]): readonly number[] =>
	[...new Set(values)].toSorted((left, right) => left - right);
