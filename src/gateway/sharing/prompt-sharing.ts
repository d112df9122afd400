import {randomUUID} from 'node:crypto';
import type {Logger} from '../../logging/index.ts';
import type {DisabledMechanisms} from '../../mechanisms/index.ts';
import {createZoneRoleHolders} from '../../membership/index.ts';
import type {Mesh, PeerClient} from '../../mesh/index.ts';
import {
	createCacheReader,
	createFeedFollower,
	createPromptFeed,
	createPromptMap,
	type CacheSource,
	type FeedAnswer,
	type FeedQuery,
	type FeedSource,
	type CacheEngine,
} from '../../prompts/index.ts';
import {incarnationIdOf, type RegistryMirror} from '../../registry/index.ts';
import type {
	ServerBackoffs,
	StatementHandler,
} from '../../server-statements/index.ts';
import type {BackendLimits} from '../../backend-limits/index.ts';
import {minimumSharedTokens} from '../../routes/index.ts';
import {rendezvousOrder} from '../../shared/index.ts';

/**
What this node knows of the prompts in the caches of engines, and its share in distributing that.
*/
export type PromptSharing = {
	/**
	Whether a backend server is known to have a prompt part in its cache.
	*/
	isCached(server: string, part: string): boolean;
	/**
	Answers a query of another node.
	*/
	answer(question: FeedQuery): Promise<FeedAnswer>;
	/**
	Removes backend servers that no longer exist; called when the copy of the registry has changed.
	*/
	refresh(): void;
	tick(): void;
	stop(): void;
};

/**
Options of `createPromptSharing`.
*/
export type PromptSharingOptions = {
	/**
	Undefined if engines do not report what their caches hold.
	*/
	readonly caches: CacheSource | undefined;
	readonly without: DisabledMechanisms;
	readonly mirror: RegistryMirror;
	readonly peerClient: PeerClient;
	readonly availabilityZone: string;
	readonly zones: readonly string[];
	readonly mesh: Pick<Mesh, 'self' | 'usable'>;
	/**
	Whether enough time has passed since the start for this node to have learned of the others.
	*/
	readonly hasSettled: () => boolean;
	/**
	The limits that engines state.
	*/
	readonly backendLimits: Pick<BackendLimits, 'enginePollIntervalMs'>;
	/**
	The backoff times that engines requested from this node.
	*/
	readonly backoffs: Pick<ServerBackoffs, 'remainingMs'>;
	/**
	Handles what engines state in their responses.
	*/
	readonly statements: StatementHandler;
	/**
	Monotonic clock in milliseconds.
	*/
	readonly clock: () => number;
	readonly logger: Logger;
};

/**
Maximum number of engines that a node reads before it knows which node holds the role. After a stop of all nodes each
of them does so; without the limit the number of calls would be nodes times engines.
*/
export const startupEngineLimit = 4;

// The holder of this role reads the engines of its zone and follows the holders of the other zones.
const role = 'prompts';

/**
Creates the sharing of one node. One node of each zone holds the role: it reads the engines of the zone and follows the
holders of the other zones. Every other node follows the holder of its zone, so that the work and traffic of a node do
not grow with the number of nodes.
*/
export const createPromptSharing = (
	options: PromptSharingOptions,
): PromptSharing => {
	const {mirror, mesh, peerClient, availabilityZone, zones, without} = options;
	const map = createPromptMap();
	const zoneOf = (server: string) =>
		mirror.servers().get(server)?.server.availabilityZone;
	const feed = createPromptFeed({
		epoch: randomUUID(),
		map,
		isInZone: (server) => zoneOf(server) === availabilityZone,
	});

	const holders = createZoneRoleHolders(role, mesh.self, mesh.usable);
	const isHolder = (): boolean =>
		holders().get(availabilityZone)?.id === mesh.self().id;

	const enginesOfZone = (): readonly CacheEngine[] => {
		const routes = mirror.routes();
		return mirror
			.servers()
			.values()
			.map(({server}) => server)
			.filter(
				(server) =>
					!server.isLeaving &&
					server.availabilityZone === availabilityZone &&
					routes?.service(server.service)?.engine !== undefined,
			)
			.toArray();
	};

	// A node that has just started does not know yet which node holds the role, and meanwhile reads some engines itself.
	// After a stop of all nodes it would otherwise send long prompts to engines that do not have them in their caches.
	const enginesToRead = (): readonly CacheEngine[] => {
		if (options.hasSettled() || without.has('early-cache-events')) {
			return isHolder() ? enginesOfZone() : [];
		}

		return rendezvousOrder(mesh.self().id, enginesOfZone(), ({id}) => id).slice(
			0,
			startupEngineLimit,
		);
	};

	const sources = (): readonly FeedSource[] => {
		const followed = isHolder()
			? zones.filter((zone) => zone !== availabilityZone)
			: [availabilityZone];
		const scope = isHolder() ? 'zone' : 'all';
		return followed
			.map((zone) => holders().get(zone))
			.filter((holder) => holder !== undefined)
			.map(({id, peerAddress: address}) => ({id, address, scope}));
	};

	const caches = without.has('cache-events') ? undefined : options.caches;
	const reader =
		caches &&
		createCacheReader({
			source: caches,
			engines: enginesToRead,
			publish: feed.publish,
			minimumTokens: minimumSharedTokens,
			minimumIntervalMs: (engine) =>
				options.backendLimits.enginePollIntervalMs(incarnationIdOf(engine)),
			backoffMs: (engine) =>
				options.backoffs.remainingMs(incarnationIdOf(engine), options.clock()),
			clock: options.clock,
			onHead(engine, head, sentAt) {
				options.statements.handle({
					...head,
					server: engine.id,
					incarnationId: incarnationIdOf(engine),
					source: 'cache read',
					sentAt,
					receivedAt: options.clock(),
					isSigned: false,
				});
			},
			logger: options.logger,
		});
	const follower = createFeedFollower({
		sources,
		ask: async ({address}, question) =>
			peerClient.promptsAfter(address, question),
		publish: feed.publish,
	});

	return {
		isCached: map.holds,
		answer: feed.answer,
		refresh() {
			const removed = map.servers().filter((id) => !mirror.servers().has(id));
			feed.publish(removed.map((id) => [id, '', 0]));
		},
		tick() {
			reader?.tick();
			follower.tick();
		},
		stop() {
			reader?.stop();
			follower.stop();
		},
	};
};
