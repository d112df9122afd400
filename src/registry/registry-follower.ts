import type {Logger} from '../logging/index.ts';
import type {Address} from '../shared/index.ts';
import {createEraTracker} from './era-tracker.ts';
import {catchUpPosition} from './catch-up-position.ts';
import type {
	RegistryAnswer,
	RegistrySource,
	RegistryUpdate,
} from './registry-entry.ts';
import type {RelayedAnswer} from './registry-relay.ts';
import type {MirrorChange} from './mirror-change.ts';
import type {AnswerOrigin, RegistryMirror} from './registry-mirror.ts';
import {startPosition, type RegistryPosition} from './registry-position.ts';
import type {RegistryStamp} from './registry-stamp.ts';

/**
Keeps a node's registry mirror up to date, from the registry itself and from other nodes.
*/
export type RegistryFollower = {
	start(): void;
	stop(): Promise<void>;
	/**
	Takes in the registry stamp of another node. A node that is behind requests the missing changes from it.
	*/
	receiveStamp(stamp: RegistryStamp, from: Address): void;
	tick(now: number): void;
	/**
	When the mirror was last confirmed, by the registry itself or through a relay.
	*/
	confirmedAt(): number | undefined;
	/**
	Whether this node reads the registry itself and its last request was answered.
	*/
	isReading(): boolean;
};

/**
The mirror that a follower updates, and the sources it reads.
*/
export type RegistryFollowerOptions = {
	readonly mirror: RegistryMirror;
	readonly registry: RegistrySource;
	/**
	Requests the changes after a position from another node.
	*/
	readonly askPeer: (
		peer: Address,
		after: RegistryPosition,
	) => Promise<RegistryAnswer>;
	/**
	Picks another node to ask while the registry does not answer.
	*/
	readonly pickPeer: () => Address | undefined;
	/**
	The node that relays the registry to this node; undefined if this node reads the registry itself.
	*/
	readonly relay: () => Address | undefined;
	/**
	Requests the changes after a position from a relay, as a long poll.
	*/
	readonly askRelay: (
		relay: Address,
		after: RegistryPosition,
	) => Promise<RelayedAnswer | undefined>;
	/**
	Whether this node has just started, as all others may have, and already has what it needs to serve requests.
	*/
	readonly hasJustStarted: () => boolean;
	/**
	Called after each answer and each failure of the registry.
	*/
	readonly onRead: () => void;
	readonly clock: () => number;
	/**
	Returns a random number from 0 (inclusive) to 1 (exclusive).
	*/
	readonly randomFraction: () => number;
	readonly logger: Logger;
	readonly onChanges: (changes: readonly MirrorChange[]) => void;
	/**
	Called after this node read changes from the registry itself, so that it can announce them to other nodes.
	*/
	readonly announceChanges: () => void;
};

/**
Duration of a long poll of the registry, in milliseconds. It delays the detection of an unresponsive registry by at
most this time, well within the three seconds allowed for the shutdown of a backend server.
*/
export const registryLongPollMs = 1500;

/**
Pause between an answer and the next request, in milliseconds, so that a burst of changes costs one call.
*/
export const registryPollPauseMs = 250;

/**
The same pause while a node does not know yet which node reads the registry for its zone, in milliseconds. After a
restart of all nodes, each reads for itself while servers register one after the other, and each registration ends a
long poll. Every time limit for applying a change in the first seconds of a node is longer than this pause.
*/
export const startupPauseMs = 1000;

/**
Pause after the registry refused a request or failed, in milliseconds.
*/
export const retryPauseMs = 400;

/**
How long a node that learns of a later revision waits for its own read before it asks the other node, in milliseconds.
*/
export const catchUpDelayMs = 120;

/**
How long a node reads the registry itself after its relay failed, in milliseconds. By then, membership has detected the
failure of the relay.
*/
export const relayFallbackMs = 3000;

/**
Maximum age of a relay's confirmation, in milliseconds; an older one shows that the relay cannot reach the registry.
For an answer with changes, a relay counts the age from its request, so the age includes the duration of a long poll.
*/
export const maximumRelayAgeMs = registryLongPollMs + 1000;

/**
Maximum jitter before a full read, in milliseconds. It spreads the reads of nodes whose relay cannot serve them after the
registry was restored from an older copy.
*/
export const fullReadJitterMs = 500;

/**
Minimum time between two full reads without a pause, in milliseconds, for a registry that keeps dropping its history.
*/
export const fullReadIntervalMs = 1000;

/**
How this node updates its mirror next.

`current`: by changes. `unverified`: the registry was unavailable and states no era, so it may have been restored from an older copy;
its next answer only shows that it is available again. `outdated`: a full read is needed, from the relay if there is one. `reading`: a
full read of the registry itself.
*/
type Progress = 'current' | 'unverified' | 'outdated' | 'reading';

/**
Creates a follower. It sends no request before `start`.
*/
export const createRegistryFollower = (
	options: RegistryFollowerOptions,
): RegistryFollower => {
	const {mirror, registry, clock, logger} = options;
	const eraTracker = createEraTracker(mirror, logger);
	let isRunning = false;
	let progress: Progress = 'reading';
	let fullReadAt = -Infinity;
	let isRegistryAnswering: boolean | undefined;
	let confirmedAt: number | undefined;
	let isAskingPeer = false;
	let isReading = false;
	let directReadsUntil = -Infinity;
	let introducedEra: number | undefined;
	let catchUpTimer: NodeJS.Timeout | undefined;
	let pause: NodeJS.Timeout | undefined;

	const apply = (answer: RegistryUpdate, origin: AnswerOrigin) => {
		const changes = mirror.apply(answer, clock(), origin);
		if (changes.length === 0) {
			return;
		}

		options.onChanges(changes);
		// Other nodes already know changes that came from a node.
		if (origin === 'registry') {
			options.announceChanges();
		}
	};

	const recordContact = (isNow: boolean, reason: string) => {
		if (isRegistryAnswering === isNow) {
			return;
		}

		isRegistryAnswering = isNow;
		const facts = {revision: mirror.revision(), reason};
		if (isNow) {
			logger.info(facts, 'registry answers');
		} else {
			logger.warn(facts, 'registry does not answer; asking other nodes');
		}
	};

	const askPeer = async (peer: Address, after = mirror.position()) => {
		if (isAskingPeer) {
			return;
		}

		isAskingPeer = true;
		const wasEmpty = mirror.revision() === 0;
		const answer = await options.askPeer(peer, after);
		isAskingPeer = false;
		if (!isRunning || !isUpdate(answer)) {
			return;
		}

		apply(answer, 'peer');
		if (wasEmpty && progress === 'reading' && mirror.revision() > 0) {
			progress = 'current';
		}

		if (after.revision === 0) {
			introducedEra = mirror.position().era;
		}
	};

	const recordAnswer = (reason: string) => {
		recordContact(true, reason);
		isReading = true;
		options.onRead();
	};

	const applyChanges = (
		answer: RegistryUpdate,
		asked: RegistryPosition,
		askedAt: number,
	): number => {
		if (progress === 'unverified') {
			progress = 'outdated';
			return 0;
		}

		const era = eraTracker.eraOf(answer, asked);
		const own = mirror.position();
		if (era === asked.era && era === own.era) {
			apply({...answer, era}, 'registry');
			confirmedAt = confirmationTime(answer, askedAt, clock());
			recordAnswer(answer.kind);
			return options.hasJustStarted() ? startupPauseMs : registryPollPauseMs;
		}

		// Changes after a revision of another era would leave a gap. This node may have learned of the later era from another
		// node in the meantime.
		if (era > own.era) {
			progress = 'outdated';
		}

		return 0;
	};

	const applyFullRead = (
		answer: RegistryUpdate,
		asked: RegistryPosition,
		askedAt: number,
	): number => {
		const era = eraTracker.eraOf(answer, asked);
		apply({...answer, era}, 'registry');
		fullReadAt = clock();
		// This node learned of a later era from another node in the meantime.
		if (era < mirror.position().era) {
			return registryPollPauseMs;
		}

		progress = 'current';
		confirmedAt = askedAt;
		recordAnswer(answer.kind);
		return options.hasJustStarted() ? startupPauseMs : registryPollPauseMs;
	};

	const registryFailed = async (reason: string): Promise<number> => {
		mirror.sourceFailed(clock());
		isReading = false;
		options.onRead();
		recordContact(false, reason);
		if (progress === 'current' && !eraTracker.isStated()) {
			progress = 'unverified';
		}

		const peer = options.pickPeer();
		if (peer !== undefined) {
			await askPeer(peer);
		}

		return retryPauseMs;
	};

	const askRegistry = async (): Promise<number> => {
		const askedAt = clock();
		const asked = mirror.position();
		const answer =
			progress === 'reading' || asked.revision === 0
				? await registry.snapshot()
				: await registry.changes(
						asked.revision,
						progress === 'unverified' ? 0 : registryLongPollMs,
					);
		if (!isRunning) {
			return 0;
		}

		switch (answer.kind) {
			case 'changes': {
				return applyChanges(answer, asked, askedAt);
			}

			case 'snapshot': {
				return applyFullRead(answer, asked, askedAt);
			}

			case 'history-lost': {
				logger.warn(
					{...asked},
					'registry no longer has the requested changes; a full read is needed',
				);
				progress = 'outdated';
				return clock() - fullReadAt < fullReadIntervalMs
					? registryPollPauseMs
					: 0;
			}

			case 'unavailable': {
				return registryFailed(answer.reason);
			}
		}
	};

	// Returns the pause before the next request; undefined if the relay cannot serve this node.
	const askRelay = async (relay: Address): Promise<number | undefined> => {
		isReading = false;
		const asked = mirror.position();
		const relayed = await options.askRelay(relay, asked);
		if (!isRunning) {
			return 0;
		}

		const own = mirror.position();
		const isFresh = relayed !== undefined && relayed.ageMs <= maximumRelayAgeMs;
		if (isFresh && isUpdate(relayed.answer)) {
			const {answer, ageMs} = relayed;
			const era = answer.era ?? startPosition.era;
			if (era === own.era || (era > own.era && answer.kind === 'snapshot')) {
				apply(answer, 'peer');
				progress = 'current';
				confirmedAt = clock() - ageMs;
				return registryPollPauseMs;
			}
		}

		// This node learned of a later era from another node in the meantime, so the request was out of date.
		if (own.era !== asked.era) {
			return 0;
		}

		logger.info(
			{relay, ageMs: relayed?.ageMs, era: own.era},
			'registry relay is unavailable or out of date; reading the registry itself',
		);
		return undefined;
	};

	const followRelay = async (relay: Address): Promise<number> => {
		const pauseMs = await askRelay(relay);
		if (pauseMs !== undefined) {
			return pauseMs;
		}

		directReadsUntil = clock() + relayFallbackMs;
		if (progress !== 'outdated') {
			return 0;
		}

		progress = 'reading';
		return options.randomFraction() * fullReadJitterMs;
	};

	const readEverything = async (): Promise<number> => {
		progress = 'reading';
		return askRegistry();
	};

	const currentRelay = (): Address | undefined =>
		mirror.revision() === 0 || clock() < directReadsUntil
			? undefined
			: options.relay();

	const followOnce = async (): Promise<number> => {
		switch (progress) {
			case 'reading': {
				return askRegistry();
			}

			case 'unverified':
			case 'current': {
				const relay = currentRelay();
				return relay === undefined ? askRegistry() : followRelay(relay);
			}

			case 'outdated': {
				const relay = options.relay();
				return relay === undefined ? readEverything() : followRelay(relay);
			}
		}
	};

	// A fault must not end the loop: the node would serve from an ever older copy, and one without a copy nothing at all.
	const followSafely = async (): Promise<number> => {
		try {
			return await followOnce();
		} catch (error) {
			logger.error(
				{fault: (error as Error).stack ?? String(error)},
				'registry update failed; trying again',
			);
			return retryPauseMs;
		}
	};

	const run = async () => {
		const pauseMs = await followSafely();
		if (isRunning) {
			pause = setTimeout(() => {
				void run();
			}, pauseMs);
		}
	};

	return {
		start() {
			isRunning = true;
			void run();
		},
		async stop() {
			isRunning = false;
			clearTimeout(catchUpTimer);
			clearTimeout(pause);
			await registry.close();
		},
		receiveStamp(stamp, from) {
			if (
				catchUpTimer !== undefined ||
				catchUpPosition(mirror.stamp(), stamp, introducedEra) === undefined
			) {
				return;
			}

			catchUpTimer = setTimeout(() => {
				catchUpTimer = undefined;
				const after = catchUpPosition(mirror.stamp(), stamp, introducedEra);
				if (isRunning && after !== undefined) {
					void askPeer(from, after);
				}
			}, catchUpDelayMs);
		},
		tick(now) {
			const changes = mirror.expire(now);
			if (changes.length > 0) {
				options.onChanges(changes);
			}
		},
		confirmedAt: () => confirmedAt,
		isReading: () => isReading,
	};
};

const isUpdate = (answer: RegistryAnswer): answer is RegistryUpdate =>
	answer.kind === 'changes' || answer.kind === 'snapshot';

// The registry sent an empty answer that took the full long poll when the poll ended. It may have sent any other answer
// as soon as it received the request, and the answer may have been in transit since.
const confirmationTime = (
	answer: RegistryAnswer,
	askedAt: number,
	now: number,
): number =>
	answer.kind === 'changes' &&
	answer.items.length === 0 &&
	now - askedAt >= registryLongPollMs
		? askedAt + registryLongPollMs
		: askedAt;
