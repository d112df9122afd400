import {
	createBackendFleet,
	type OpenCall,
	type UpstreamCall,
	type UpstreamListener,
} from '../../../src/backends/index.ts';
import type {GatewayError} from '../../../src/errors/index.ts';
import type {UpstreamChooser} from '../../../src/gateway/choosing/choose-upstream.ts';
import type {DeliveryOptions} from '../../../src/gateway/delivery/delivery-context.ts';
import {createDeliveries} from '../../../src/gateway/delivery/delivery.ts';
import type {
	ResponseSink,
	DeliveryRecord,
	Exchange,
} from '../../../src/gateway/exchange.ts';
import {silentLogger} from '../../../src/logging/index.ts';
import {
	createServerAnnouncements,
	createStatementHandler,
} from '../../../src/server-statements/index.ts';
import type {QuarantineStatus} from '../../../src/quarantine/index.ts';
import {createWindowRetryBudget} from '../../../src/retries/index.ts';
import type {Route} from '../../../src/routes/index.ts';
import {createRouteDurations} from '../../../src/gateway/delivery/route-durations.ts';
import {limitsOf} from '../../backend-limits/fixtures.ts';
import {
	exchangeOf,
	fleetOptionsOf,
	knownServerOf,
	names,
	originsOfOneVersion,
	routeOf,
} from '../fixtures.ts';

/**
A call to a backend server or node.
*/
export type Sent = {
	readonly call: UpstreamCall;
	readonly listener: UpstreamListener;
	isAborted: boolean;
};

/**
Sets up the deliveries of a gateway with one region. The tests take the part of the backend servers.
*/
export const setUp = (
	servers: readonly string[],
	slack = 1000,
	hasSettled = true,
	choose?: UpstreamChooser,
	isClientKnown: () => boolean = () => true,
	quarantineStatus: () => QuarantineStatus = () => ({kind: 'clear'}),
	change: Partial<DeliveryOptions> = {},
) => {
	let now = 0;
	const clock = () => now;
	const sent: Sent[] = [];
	const records: DeliveryRecord[] = [];
	const backendLimits = limitsOf();
	const announcements = createServerAnnouncements({
		logger: silentLogger,
		onLeaving: () => undefined,
		randomFraction: () => 0,
	});
	const fleet = createBackendFleet(
		fleetOptionsOf({backendLimits, backoffs: announcements.backoffs}),
	);
	fleet.sync(new Map(servers.map((id) => [id, knownServerOf(id, 1)])), now);
	const deliveries = createDeliveries({
		self: 'node-1',
		clock,
		headers: names,
		without: new Set(),
		fleet,
		client: {
			call(call, listener): OpenCall {
				const entry: Sent = {call, listener, isAborted: false};
				sent.push(entry);
				return {
					abort() {
						entry.isAborted = true;
					},
					resume: () => undefined,
				};
			},
			forget: () => undefined,
			connectionsOpened: () => 0,
			hasIdleConnection: () => false,
			close: async () => undefined,
		},
		choose:
			choose ??
			((_exchange, _tried, placement) => fleet.choose(placement, now)),
		budget: createWindowRetryBudget({ratio: 0, windowMs: 10_000, slack}),
		budgetNodes: () => 1,
		hasSettled: () => hasSettled,
		durations: createRouteDurations(),
		exitsAt: () => Infinity,
		leavingNodes: () => new Set(),
		connectionShare: () => ({maximum: 10, isPersistent: true}),
		routesVersion: () => 1,
		isOnlyRegion: () => false,
		isServedHere: () => true,
		isClientKnown,
		onPeerFailure: () => undefined,
		onServerFailure: () => undefined,
		onCallBroken: () => undefined,
		onServed: () => undefined,
		quarantineStatus,
		statements: createStatementHandler({
			headers: names,
			onLeaving: announcements.recordShutdown,
			onBackoff: announcements.recordBackoff,
			onLimit: backendLimits.recordStatement,
			onRefusalLimit: () => undefined,
			onFault: () => undefined,
		}),
		announcements,
		canSend: () => true,
		needsSlotLease: () => false,
		origins: originsOfOneVersion,
		regionsWithout: () => new Set(),
		backendLimits,
		onQueued: () => undefined,
		onRecord(record) {
			records.push(record);
		},
		onHedge: () => undefined,
		onSparseEventIds: () => undefined,
		...change,
	});
	return {
		deliveries,
		fleet,
		sent,
		records,
		pass(milliseconds: number) {
			now += milliseconds;
			deliveries.tick(now);
		},
	};
};

/**
Creates the end of a caller and what it has seen.
*/
export const createSink = () => {
	const seen = {
		status: 0,
		text: '',
		isEnded: false,
		isBroken: false,
		error: undefined as GatewayError | undefined,
	};
	const sink: ResponseSink = {
		begin(status) {
			seen.status = status;
		},
		write(chunk) {
			seen.text += chunk.toString();
			return true;
		},
		end(chunk) {
			seen.text += chunk?.toString() ?? '';
			seen.isEnded = true;
		},
		abort() {
			seen.isBroken = true;
		},
		refuse(error) {
			seen.error = error;
		},
		onDrain: () => undefined,
	};
	return {sink, seen};
};

/**
A request of a route that is changed.
*/
export const exchangeFor = (
	route: Partial<Route>,
	change: Partial<Exchange> = {},
): Exchange => exchangeOf({route: routeOf(route), ...change});

/**
Sends the head of an answer.
*/
export const answer = (
	{listener}: Sent,
	status: number,
	headers: Readonly<Record<string, string>> = {},
) => {
	const all: Readonly<Record<string, string>> = {
		'x-test-id': 'request-1',
		...headers,
	};
	listener.onHead({
		status,
		header: (name) => all[name],
		rawHeaders: Object.entries(all).flat(),
	});
};

/**
Headers of a success.
*/
export const signed = {'x-test-signature': 's'};
