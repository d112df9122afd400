import {Result} from 'true-myth';
import {createGatewayError, type GatewayError} from '../../errors/index.ts';
import {
	parsePromptParts,
	pickService,
	type Prompt,
	type RouteTable,
} from '../../routes/index.ts';
import {parseDecimal} from '../../shared/index.ts';
import type {Exchange} from '../exchange.ts';
import {
	decodeHopCall,
	hopHeaderNames,
	type HopCall,
} from '../delivery/index.ts';
import {
	forwardableHeaders,
	lastEventIdHeader,
	type WireHeaders,
} from '../wire-headers.ts';
import {bindClient, bindForwardedClient, keyDigestOf} from './bind-client.ts';
import type {ReceivedRequest} from './caller-listener.ts';

/**
State of this node against which requests are read.
*/
export type ReadContext = {
	readonly names: WireHeaders;
	readonly routes: RouteTable | undefined;
	/**
	Whether the routes were confirmed recently. If so, a path that matches no route is unknown.
	*/
	readonly areRoutesFresh: boolean;
	readonly now: number;
};

/**
Reads a caller's request.
*/
export const readExchange = (
	request: ReceivedRequest,
	context: ReadContext,
): Result<Exchange, GatewayError> => {
	const {names, routes} = context;
	// A request with several hosts is refused (RFC 9112, 3.2), because the next hop may take it for one to another host.
	if (hasSeveralHosts(request)) {
		return refuse('bad-request', 'The request has several Host headers');
	}

	const requestId = request.header(names.requestId);
	if (requestId === undefined || requestId === '') {
		return refuse(
			'bad-request',
			`The request has no id; send one in ${names.requestId}`,
		);
	}

	if (!routes) {
		return refuse('not-ready', 'This node has no routes yet; try another one');
	}

	const route = routes.match(request.host, request.target);
	if (!route) {
		return context.areRoutesFresh
			? refuse('unknown-path', 'No route has this host and path')
			: refuse(
					'not-ready',
					'This node cannot tell whether the route exists; try another one',
				);
	}

	const bound = bindClient(keyDigestOf(request, names), context, routes, route);
	if (bound.isErr) {
		return Result.err(bound.error);
	}

	const statedMs = Number(request.header(names.remainingMs) ?? route.timeoutMs);
	const remainingMs =
		Number.isFinite(statedMs) && statedMs > 0 ? statedMs : route.timeoutMs;
	return Result.ok({
		...commonFields(request, names, routes),
		...bound.value,
		requestId,
		service: pickService(route, requestId),
		receivedAt: context.now,
		expiresAt: context.now + Math.min(route.timeoutMs, remainingMs),
		hop: undefined,
	});
};

/**
Reads a request that another node forwards. The route and the account are taken from the node that has the newer
routes.
*/
export const readForwarded = (
	request: ReceivedRequest,
	context: ReadContext,
): Result<Exchange, GatewayError> => {
	const {names, routes} = context;
	const call = decodeHopCall(request.header);
	const requestId = request.header(names.requestId);
	if (!call || requestId === undefined) {
		return refuse('bad-request', 'This address is for nodes only');
	}

	if (!routes) {
		return refuse('not-ready', 'This node has no routes yet');
	}

	const route = routes.match(request.host, request.target);
	if (!route) {
		return refuse('no-candidate', 'This node has no route for the request');
	}

	const hasNewerRoutes = routes.document.version > call.version;
	const bound = hasNewerRoutes
		? bindClient(
				call.client?.keyDigest ?? keyDigestOf(request, names),
				context,
				routes,
				route,
			)
		: bindForwardedClient(routes, route, call.client);
	if (bound.isErr) {
		return Result.err(bound.error);
	}

	// A stream is continued only by the service that began it.
	const isBound = call.softwareVersion !== undefined;
	if (
		isBound &&
		hasNewerRoutes &&
		route.services.every(({service}) => service !== call.service)
	) {
		return refuse(
			'no-candidate',
			'The route no longer leads to the service that began the stream',
		);
	}

	return Result.ok({
		...commonFields(request, names, routes),
		...bound.value,
		requestId,
		service:
			hasNewerRoutes && !isBound ? pickService(route, requestId) : call.service,
		receivedAt: context.now,
		...forwardedTimes(call, context.now),
		hop: {
			origin: call.origin,
			excluded: call.excluded,
			canWait: call.canWait,
			softwareVersion: call.softwareVersion,
		},
	});
};

const hasSeveralHosts = ({rawHeaders}: ReceivedRequest): boolean =>
	rawHeaders.filter(
		(text, index) => index % 2 === 0 && text.toLowerCase() === 'host',
	).length > 1;

const forwardedTimes = ({remainingMs}: HopCall, now: number) => ({
	expiresAt: now + remainingMs,
});

const commonFields = (
	request: ReceivedRequest,
	names: WireHeaders,
	{clients}: RouteTable,
) => ({
	method: request.method,
	host: request.host,
	target: request.target,
	headers: forwardableHeaders(
		request.rawHeaders,
		droppedHeaders(names, clients !== undefined),
	),
	body: request.body,
	prompt: readPrompt(request, names),
	lastEventId: request.header(lastEventIdHeader),
	continuedRequestId: request.header(names.continuedRequestId),
});

type DroppedHeaders = {
	readonly always: ReadonlySet<string>;
	readonly withClients: ReadonlySet<string>;
};

const droppedHeadersOf = new WeakMap<WireHeaders, DroppedHeaders>();

// Headers that are not forwarded: those that only the gateway may set, and those that it sets again for the next hop.
// Where callers need a key, the key is not sent to backend servers either.
const droppedHeaders = (
	names: WireHeaders,
	hasClients: boolean,
): ReadonlySet<string> => {
	const known = droppedHeadersOf.get(names) ?? buildDroppedHeaders(names);
	droppedHeadersOf.set(names, known);
	return hasClients ? known.withClients : known.always;
};

const buildDroppedHeaders = (names: WireHeaders): DroppedHeaders => {
	const always = [
		...names.reserved,
		...hopHeaderNames,
		names.remainingMs,
		names.expectedServer,
		lastEventIdHeader,
	];
	return {
		always: new Set(always),
		withClients: new Set([...always, names.clientKey, names.client]),
	};
};

const readPrompt = (
	request: ReceivedRequest,
	names: WireHeaders,
): Prompt | undefined => {
	const usage = request.header(names.tokenUsage);
	if (usage === undefined) {
		return undefined;
	}

	const [tokensIn = 0, stated = 0] = usage.split(',').map(Number);
	const tokensOut = Number.isFinite(stated) ? stated : 0;
	return {
		parts: parsePromptParts(request.header(names.promptParts) ?? ''),
		tokensIn: Number.isFinite(tokensIn) ? tokensIn : 0,
		tokensOut,
		expectedTokensOut: readLengthHint(
			request.header(names.lengthHint),
			tokensOut,
		),
	};
};

// An estimate above the maximum number of generated tokens cannot be right.
const readLengthHint = (
	hint: string | undefined,
	maximum: number,
): number | undefined => {
	const tokens = parseDecimal(hint ?? '');
	return tokens === undefined || tokens <= 0
		? undefined
		: Math.min(tokens, maximum);
};

const refuse = (
	...[kind, message]: [Parameters<typeof createGatewayError>[0], string]
): Result<Exchange, GatewayError> =>
	Result.err(createGatewayError(kind, message));
