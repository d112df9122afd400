import type {DisabledMechanisms} from '../../mechanisms/index.ts';
import type {Logger} from '../../logging/index.ts';
import type {Member} from '../../membership/index.ts';
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
	type VersionStatement,
} from '../../stream-origins/index.ts';
import type {Address, Random} from '../../shared/index.ts';
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
	The software versions that this node knows of, for a node that has just started.
	*/
	versionStatement(): VersionStatement | undefined;
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
	/**
	Asks another node for its history of versions; undefined if it does not answer or has none.
	*/
	readonly askVersions: (
		peer: Address,
	) => Promise<VersionStatement | undefined>;
	/**
	The longest time within which a stream of any route may be taken up, in milliseconds.
	*/
	readonly longestLifeMs: () => number;
	readonly random: Random;
	readonly without: DisabledMechanisms;
	readonly clock: () => number;
	readonly logger: Logger;
};

/**
Maximum age of the copy of the registry from which a node concludes that a service has one version only, in milliseconds.
*/
export const maximumVersionAgeMs = 3000;

// A caller may take up a stream that the route's timeout has cut off, and then has the time of another request.
const lifetimesPerStream = 2;

/**
Interval at which a node that has just started asks others which versions were in use before, in milliseconds.
*/
export const versionQueryIntervalMs = 500;

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
	askVersions,
	longestLifeMs,
	random,
	without,
	clock,
	logger,
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

	// No record can be found for a caller that does not name the request that it continues. Interruptions are tolerated for it: a
	// node that was cut off from the registry knew all versions that it could use.
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

	let askAt = 0;

	// The one of two random nodes that started earlier: it knows more, and no node is asked by all others.
	const pickOlderNode = (): Member | undefined => {
		const members = mesh.usable();
		const [first, second] = [1, 2].map(
			() => members[random.below(members.length)],
		);
		return first && second && second.incarnation < first.incarnation
			? second
			: first;
	};

	// A node that has just started does not know which versions were in use before. One that has run for longer may know.
	const askOtherNode = (now: number) => {
		if (now < askAt) {
			return;
		}

		askAt = now + versionQueryIntervalMs;
		const isEnough =
			history.statement(now) === undefined ||
			history.reachesBack(longestLifeMs(), now);
		const peer = isEnough ? undefined : pickOlderNode();
		if (peer) {
			void takeOverFrom(peer.peerAddress, now);
		}
	};

	const takeOverFrom = async (peer: Address, askedAt: number) => {
		const statement = await askVersions(peer);
		if (!statement) {
			return;
		}

		const knownBefore = history.statement(clock());
		history.takeOver(statement, askedAt, clock());
		logger.info(
			{
				peer,
				knownMs: Math.round(history.statement(clock())?.knownMs ?? 0),
				knownBeforeMs: Math.round(knownBefore?.knownMs ?? 0),
				versions: statement.versions.length,
			},
			'software versions in use before the start taken over from another node',
		);
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
		versionStatement: () => history.statement(clock()),
		tick(now) {
			askOtherNode(now);
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
