import type {DisabledMechanisms} from '../../mechanisms/index.ts';
import type {Mesh} from '../../mesh/index.ts';
import type {StreamOriginMessage} from '../../peers/stream-origin-messages.ts';
import {softwareVersionOf, type RegistryMirror} from '../../registry/index.ts';
import type {Route} from '../../routes/index.ts';
import {
	createOriginHolders,
	createStreamOrigins,
	createVersionHistory,
	decideContinuation,
	type Continuation,
	type StreamOrigin,
} from '../../stream-origins/index.ts';
import type {Exchange} from '../exchange.ts';

/**
Remembers together with the other nodes which software version began each resumable stream, and decides where streams may be
continued.
*/
export type OriginSharing = {
	/**
	Records the origin of a caller's stream when its first event is passed on.
	*/
	record(exchange: Exchange, origin: StreamOrigin): void;
	/**
	Finds out where a stream that its caller takes up may be continued.

	@returns Function that cancels the search.
	*/
	find(
		exchange: Exchange,
		onResult: (continuation: Continuation) => void,
	): () => void;
	/**
	Decides where a stream may be continued whose origin is unknown.
	*/
	decideWithoutRecord(exchange: Exchange): Continuation;
	/**
	Must be called when the copy of the registry has changed.
	*/
	refresh(): void;
	receive(message: StreamOriginMessage): void;
	/**
	Must be called at each tick.
	*/
	tick(now: number): void;
	/**
	For metrics: records kept here, records sent to other nodes, and searches at other nodes.
	*/
	kept(): number;
	sent(): number;
	searches(): number;
};

/**
Options of `createOriginSharing`.
*/
export type OriginSharingOptions = {
	readonly mesh: Pick<Mesh, 'self' | 'usable' | 'others' | 'send'>;
	readonly regionOf: (availabilityZone: string) => string;
	readonly mirror: Pick<RegistryMirror, 'servers'>;
	/**
	Milliseconds since the registry last confirmed the copy.
	*/
	readonly copyAgeMs: () => number;
	readonly without: DisabledMechanisms;
	readonly clock: () => number;
};

/**
Maximum age of the copy of the registry from which a node concludes that a service has one version only, in milliseconds.
*/
export const maximumVersionAgeMs = 3000;

// A caller may take up a stream that the route's timeout has cut off, and then has the time of another request.
const lifetimesPerStream = 2;

/**
Returns the time within which a stream of a route may be taken up after its first event, in milliseconds.
*/
export const originLifeMsOf = ({timeoutMs}: Route): number =>
	timeoutMs * lifetimesPerStream;

/**
Creates the sharing of a node that has just started.
*/
export const createOriginSharing = ({
	mesh,
	regionOf,
	mirror,
	copyAgeMs,
	without,
	clock,
}: OriginSharingOptions): OriginSharing => {
	const history = createVersionHistory();
	const origins = createStreamOrigins({
		self: mesh.self().id,
		holders: createOriginHolders({
			self: mesh.self,
			usable: mesh.usable,
			regionOf,
		}),
		memberOf: (id) => mesh.others().find((member) => member.id === id),
		send: mesh.send,
		clock,
	});

	// No record can be found for a caller that does not name the request that it continues, so a service that has one version now
	// is taken to have had it before.
	const versionsOf = ({
		route,
		service,
		continuedRequestId,
	}: Exchange): ReadonlySet<string> | undefined => {
		const spanMs = originLifeMsOf(route);
		if (continuedRequestId === undefined) {
			return history.knownWithin(service, spanMs, clock());
		}

		return copyAgeMs() > maximumVersionAgeMs
			? undefined
			: history.versionsWithin(service, spanMs, clock());
	};

	const decide = (
		exchange: Exchange,
		origin: StreamOrigin | undefined,
	): Continuation =>
		decideContinuation({
			origin,
			service: exchange.service,
			services: exchange.route.services.map(({service}) => service),
			versions: versionsOf(exchange),
		});

	return {
		record({requestId, route}, origin) {
			if (!without.has('stream-origins')) {
				origins.record(requestId, origin, originLifeMsOf(route));
			}
		},
		find(exchange, onResult) {
			const {continuedRequestId, expiresAt} = exchange;
			if (continuedRequestId === undefined) {
				onResult(decide(exchange, undefined));
				return () => undefined;
			}

			return origins.find(continuedRequestId, expiresAt - clock(), (origin) => {
				onResult(decide(exchange, origin));
			});
		},
		decideWithoutRecord: (exchange) => decide(exchange, undefined),
		refresh() {
			history.update(
				mirror
					.servers()
					.values()
					.map(({server}) => ({
						service: server.service,
						softwareVersion: softwareVersionOf(server),
					})),
				clock(),
			);
		},
		receive: origins.receive,
		tick(now) {
			// Versions may come and go while the copy is not confirmed.
			if (copyAgeMs() > maximumVersionAgeMs) {
				history.interrupt();
			} else {
				history.follow(now);
			}
		},
		kept: origins.kept,
		sent: origins.sent,
		searches: origins.searches,
	};
};
