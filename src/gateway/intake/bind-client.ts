import {Result} from 'true-myth';
import {createGatewayError, type GatewayError} from '../../errors/index.ts';
import type {Route, RouteTable} from '../../routes/index.ts';
import {sha256} from '../../shared/index.ts';
import type {Exchange, RequestClient} from '../exchange.ts';
import type {WireHeaders} from '../wire-headers.ts';
import type {ReceivedRequest} from './caller-listener.ts';

/**
A route as it holds for the account of a request.
*/
export type BoundRoute = Pick<Exchange, 'route' | 'client'>;

/**
What keys are looked up with.
*/
export type KeyContext = {
	readonly names: WireHeaders;
	/**
	Whether the routes were confirmed lately, so that a key without an account has none.
	*/
	readonly areRoutesFresh: boolean;
};

/**
Finds the account by the key and the route as it holds for it.
*/
export const bindClient = (
	keyDigest: string | undefined,
	{names, areRoutesFresh}: KeyContext,
	{clients}: RouteTable,
	route: Route,
): Result<BoundRoute, GatewayError> => {
	if (!clients) {
		return Result.ok({route, client: undefined});
	}

	const account =
		keyDigest === undefined ? undefined : clients.byKey(keyDigest);
	if (keyDigest === undefined || !account) {
		return route.isPublic
			? Result.ok({route, client: undefined})
			: refuseKey(names, areRoutesFresh);
	}

	const bound = clients.bind(route, account);
	return bound
		? Result.ok({route: bound, client: {name: account.name, keyDigest}})
		: refuse(
				'residency-unavailable',
				`No region may serve account ${account.name} on this route`,
			);
};

/**
Takes over the account that another node found by newer routes; this one may not know it at all.
*/
export const bindForwardedClient = (
	{clients}: RouteTable,
	route: Route,
	client: RequestClient | undefined,
): Result<BoundRoute, GatewayError> => {
	const account = client && clients?.byName(client.name);
	if (!account) {
		return Result.ok({route, client});
	}

	const bound = clients?.bind(route, account);
	return bound
		? Result.ok({route: bound, client})
		: refuse(
				'no-candidate',
				'By the routes of this node no region may serve it',
			);
};

// A key may have been added that this node has not heard of yet.
const refuseKey = (
	{clientKey}: WireHeaders,
	areRoutesFresh: boolean,
): Result<BoundRoute, GatewayError> =>
	areRoutesFresh
		? refuse(
				'unauthenticated',
				`The client key is missing or not known; send one in ${clientKey}`,
			)
		: refuse(
				'not-ready',
				'This node cannot tell whether the client key exists; try another one',
			);

/**
The digest by which the caller's key is looked up; undefined where there is none.
*/
export const keyDigestOf = (
	request: ReceivedRequest,
	{clientKey}: WireHeaders,
): string | undefined => {
	const key = request.header(clientKey);
	return key === undefined ? undefined : sha256(key.trim());
};

const refuse = (
	...[kind, message]: [Parameters<typeof createGatewayError>[0], string]
): Result<BoundRoute, GatewayError> =>
	Result.err(createGatewayError(kind, message));
