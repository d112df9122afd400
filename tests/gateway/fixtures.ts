import type {BackendFleetOptions} from '../../src/backends/index.ts';
import type {ClientAccount} from '../../src/clients/index.ts';
import type {DeliveryOptions} from '../../src/gateway/delivery/delivery-context.ts';
import type {Exchange} from '../../src/gateway/exchange.ts';
import type {KnownServer} from '../../src/registry/index.ts';
import type {Route, RouteDocument, Service} from '../../src/routes/index.ts';
import {createServerBackoffs} from '../../src/server-statements/index.ts';
import {sha256} from '../../src/shared/index.ts';

export {standInHeaders as names} from '../../stand-ins/stand-in-headers.ts';

export const routeOf = (change: Partial<Route> = {}): Route => ({
	name: 'route',
	host: 'site.example',
	pathPrefix: '/a/',
	kind: 'idempotent',
	services: [{service: 'engine', weight: 1}],
	timeoutMs: 4000,
	targetLatencyMs: 400,
	priority: 1,
	maximumAttempts: 2,
	isResumable: false,
	isSticky: false,
	homeRegions: [],
	isPublic: false,
	...change,
});

/**
An account with the single key `key`.
*/
export const accountOf = (
	change: Partial<ClientAccount> = {},
): ClientAccount => ({
	name: 'account',
	keyDigests: [sha256('key')],
	priority: 0,
	homeRegions: [],
	limit: undefined,
	...change,
});

export const serviceOf = (change: Partial<Service> = {}): Service => ({
	name: 'engine',
	healthPath: '/health',
	maximumConnections: 100,
	coldRequestsPerSecond: 0,
	engine: undefined,
	...change,
});

export const documentOf = (
	change: Partial<RouteDocument> = {},
): RouteDocument => ({
	version: 1,
	routes: [routeOf()],
	services: [serviceOf()],
	limits: {
		maximumHeaderBytes: 16_384,
		maximumBodyBytes: 1_048_576,
		headerTimeoutMs: 3000,
		idleTimeoutMs: 15_000,
	},
	clients: undefined,
	...change,
});

export const exchangeOf = (change: Partial<Exchange> = {}): Exchange => ({
	requestId: 'request-1',
	method: 'POST',
	host: 'site.example',
	target: '/a/b',
	headers: ['x-test-id', 'request-1'],
	body: undefined,
	route: routeOf(),
	service: 'engine',
	prompt: undefined,
	receivedAt: 0,
	expiresAt: 4000,
	lastEventId: undefined,
	continuedRequestId: undefined,
	client: undefined,
	hop: undefined,
	...change,
});

export const knownServerOf = (
	id: string,
	slots: number,
	coldUntil = 0,
): KnownServer => ({
	coldUntil,
	server: {
		id,
		service: 'engine',
		address: '10.0.0.1:80',
		availabilityZone: 'zone-a',
		slots,
		isLeaving: false,
		coldMs: 0,
	},
});

/**
Limits of servers that state none.
*/
export const unlimited: BackendFleetOptions['backendLimits'] = {
	hasAny: () => false,
	canSend: () => true,
	rateOf: () => undefined,
	recordSend: () => undefined,
};

/**
Continues each stream that is taken up at any server.
*/
export const originsOfOneVersion: DeliveryOptions['origins'] = {
	record: () => undefined,
	find(_exchange, onResult) {
		onResult({kind: 'any'});
		return () => undefined;
	},
	decideWithoutRecord: () => ({kind: 'any'}),
};

/**
Options of the only node of its region, without limits on cold servers.
*/
export const fleetOptionsOf = (
	change: Partial<BackendFleetOptions> = {},
): BackendFleetOptions => ({
	availabilityZone: 'zone-a',
	knownNodes: () => ['node-1'],
	senderRank: () => 0,
	nodesServing: () => 1,
	service: () => serviceOf(),
	coldOverrun: 1,
	coldSlack: 0,
	mayUseCold: () => true,
	isCached: () => false,
	sendPrefillBacklog: () => undefined,
	backendLimits: unlimited,
	backoffs: createServerBackoffs(() => 0),
	randomFraction: () => 0,
	without: new Set(),
	...change,
});
