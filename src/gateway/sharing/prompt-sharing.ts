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
import {smallestSharedTokens} from '../../routes/index.ts';
import {rendezvousOrder} from '../../shared/index.ts';

/**
What this node knows of the prompts that engines keep, and its part in passing that on.
*/
export type PromptSharing = {
	/**
	Whether a backend server is known to keep a prompt part.
	*/
	isCached(server: string, part: string): boolean;
	/**
	Answers another node.
	*/
	answer(question: FeedQuery): Promise<FeedAnswer>;
	/**
	Forgets backend servers that are gone; to be called when the registry's copy has changed.
	*/
	refresh(): void;
	tick(): void;
	stop(): void;
};

/**
What sharing is built from.
*/
export type PromptSharingOptions = {
	/**
	Undefined where engines do not tell of their memory.
	*/
	readonly caches: CacheSource | undefined;
	readonly without: DisabledMechanisms;
	readonly mirror: RegistryMirror;
	readonly peerClient: PeerClient;
	readonly availabilityZone: string;
	readonly zones: readonly string[];
	readonly mesh: Pick<Mesh, 'self' | 'usable'>;
	/**
	Whether this node had time to hear of the others.
	*/
	readonly hasSettled: () => boolean;
	/**
	The limits that engines name.
	*/
	readonly backendLimits: Pick<BackendLimits, 'enginePollIntervalMs'>;
	/**
	The rests that engines asked this node for.
	*/
	readonly backoffs: Pick<ServerBackoffs, 'remainingMs'>;
	/**
	Takes in what engines state in their answers.
	*/
	readonly statements: StatementHandler;
	/**
	Milliseconds that only rise.
	*/
	readonly clock: () => number;
	readonly logger: Logger;
};

/**
Engines that a node reads before it knows who has the duty to. After a stop of all nodes each of them does so:
with no bound, the calls grow with nodes times engines.
*/
export const startupEngineLimit = 4;

// Its holder reads the engines of its zone, and follows the holders of the other zones.
const duty = 'prompts';

/**
Builds the sharing of one node. One node a zone reads the zone's engines; the holders of the duty follow
each other, and every other node follows the holder of its zone. So work and bytes of a node do not
grow with the number of nodes.
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

	const holders = createZoneRoleHolders(duty, mesh.self, mesh.usable);
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

	// A node that has just started does not know yet who has the duty, and reads some engines for itself
	// meanwhile: after a stop of all nodes it would otherwise have long prompts read again that they keep.
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
			minimumTokens: smallestSharedTokens,
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
			const gone = map.servers().filter((id) => !mirror.servers().has(id));
			feed.publish(gone.map((id) => [id, '', 0]));
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
