import {randomUUID} from 'node:crypto';
import type {Logger} from '../../logging/index.ts';
import type {Without} from '../../mechanisms/index.ts';
import {createZoneHolders} from '../../membership/index.ts';
import type {Mesh, PeerQuestions} from '../../mesh/index.ts';
import {
	createCacheReader,
	createFeedFollower,
	createPromptFeed,
	createPromptMap,
	type CacheSource,
	type FeedAnswer,
	type FeedQuestion,
	type FeedSource,
	type ReadEngine,
} from '../../prompts/index.ts';
import {lifeOf, type RegistryMirror} from '../../registry/index.ts';
import type {
	ServerRests,
	StatementIntake,
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
	keeps(server: string, part: string): boolean;
	/**
	Answers another node.
	*/
	answer(question: FeedQuestion): Promise<FeedAnswer>;
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
	readonly without: Without;
	readonly mirror: RegistryMirror;
	readonly questions: PeerQuestions;
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
	readonly backendLimits: Pick<BackendLimits, 'readingPauseMs'>;
	/**
	The rests that engines asked this node for.
	*/
	readonly rests: Pick<ServerRests, 'leftMs'>;
	/**
	Takes in what engines state in their answers.
	*/
	readonly statements: StatementIntake;
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
export const earlyEngines = 4;

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
	const {mirror, mesh, questions, availabilityZone, zones, without} = options;
	const map = createPromptMap();
	const zoneOf = (server: string) =>
		mirror.servers().get(server)?.server.availabilityZone;
	const feed = createPromptFeed({
		epoch: randomUUID(),
		map,
		isInZone: (server) => zoneOf(server) === availabilityZone,
	});

	const holders = createZoneHolders(duty, mesh.self, mesh.usable);
	const isHolder = (): boolean =>
		holders().get(availabilityZone)?.id === mesh.self().id;

	const enginesOfZone = (): readonly ReadEngine[] => {
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
	const enginesToRead = (): readonly ReadEngine[] => {
		if (options.hasSettled() || without.has('early-cache-events')) {
			return isHolder() ? enginesOfZone() : [];
		}

		return rendezvousOrder(mesh.self().id, enginesOfZone(), ({id}) => id).slice(
			0,
			earlyEngines,
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
			smallestTokens: smallestSharedTokens,
			pauseMs: (engine) => options.backendLimits.readingPauseMs(lifeOf(engine)),
			restMs: (engine) => options.rests.leftMs(lifeOf(engine), options.clock()),
			clock: options.clock,
			onHead(engine, head, sentAt) {
				options.statements.heard({
					...head,
					server: engine.id,
					life: lifeOf(engine),
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
			questions.promptsAfter(address, question),
		publish: feed.publish,
	});

	return {
		keeps: map.holds,
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
