import {Result} from 'true-myth';
import {createGatewayError, type GatewayError} from '../../errors/index.ts';
import type {Route, RouteTable} from '../../routes/index.ts';
import {sha256} from '../../shared/index.ts';
import type {Exchange, RequestClient} from '../exchange.ts';
import type {WireHeaders} from '../wire-headers.ts';
import type {ReceivedRequest} from './caller-listener.ts';

/**
A route as it applies to the account of a request.
*/
export type BoundRoute = Pick<Exchange, 'route' | 'client'>;

/**
State of this node against which client keys are checked.
*/
export type KeyContext = {
	readonly names: WireHeaders;
	/**
	Whether the routes were confirmed recently. If so, a key without an account is invalid.
	*/
	readonly areRoutesFresh: boolean;
};

/**
Looks up the account by the digest of its key, and applies its restrictions to the route.
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
Applies the account that the forwarding node found in newer routes. This node may not know the account.
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

// With outdated routes, the key may belong to an account that this node has not received yet.
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
Digest by which the caller's key is looked up; undefined if the request has no key.
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
