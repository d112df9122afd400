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
Keeps a node's copy of the registry up to date, from the registry itself and from other nodes.
*/
export type RegistryFollower = {
	start(): void;
	stop(): Promise<void>;
	/**
	Says what another node has of the registry; a node that is behind asks it.
	*/
	receiveStamp(stamp: RegistryStamp, from: Address): void;
	tick(now: number): void;
	/**
	When the copy was last confirmed by the registry, or by a node that had it confirmed.
	*/
	confirmedAt(): number | undefined;
	/**
	Whether this node reads the registry itself and was answered the last time.
	*/
	isReading(): boolean;
};

/**
What a follower is built from.
*/
export type RegistryFollowerOptions = {
	readonly mirror: RegistryMirror;
	readonly registry: RegistrySource;
	/**
	Asks another node for what came after a position.
	*/
	readonly askPeer: (
		peer: Address,
		after: RegistryPosition,
	) => Promise<RegistryAnswer>;
	/**
	Another node to ask while the registry does not answer.
	*/
	readonly pickPeer: () => Address | undefined;
	/**
	The node by way of which the registry is followed; undefined where this node reads it itself.
	*/
	readonly relay: () => Address | undefined;
	/**
	Asks a relay for what came after a position; held while there is nothing.
	*/
	readonly askRelay: (
		relay: Address,
		after: RegistryPosition,
	) => Promise<RelayedAnswer | undefined>;
	/**
	Whether this node has just started, as all others may have, and knows what it needs to serve.
	*/
	readonly hasJustStarted: () => boolean;
	/**
	Told after each answer and each failure of the registry.
	*/
	readonly onRead: () => void;
	readonly clock: () => number;
	/**
	A random number from 0 up to 1.
	*/
	readonly randomFraction: () => number;
	readonly logger: Logger;
	readonly onChanges: (changes: readonly MirrorChange[]) => void;
	/**
	Told when this node read changes from the registry itself, so that others may hear of them.
	*/
	readonly announceChanges: () => void;
};

/**
How long a question for changes is held, in milliseconds. A registry that falls silent is noticed
that much later at the worst, well within the three seconds for a leaving backend server.
*/
export const registryLongPollMs = 1500;

/**
Pause between two answers, in milliseconds, so that a burst of changes costs one call.
*/
export const registryPollPauseMs = 250;

/**
The same pause while a node does not know yet who reads the registry for its zone, in milliseconds. After a
stop of all nodes each reads for itself while servers enter themselves one after the other, and each entry
ends a question. No bound on changes is as short in the first seconds of a node.
*/
export const startupPauseMs = 1000;

/**
Pause after a refusal or a failure, in milliseconds.
*/
export const retryPauseMs = 400;

/**
How long a node that hears of a later revision waits for its own watch, in milliseconds.
*/
export const catchUpDelayMs = 120;

/**
How long a node reads the registry itself after its relay failed it, in milliseconds: until
membership has found out about the relay.
*/
export const relayFallbackMs = 3000;

/**
A relay whose own confirmation is older has trouble with the registry, in milliseconds. Where there
were changes a relay counts from when it asked, so the time of a held question is part of it.
*/
export const maximumRelayAgeMs = registryLongPollMs + 1000;

/**
Nodes whose relay cannot help them after the registry came back from an older copy read everything themselves, spread over this
time, in milliseconds.
*/
export const fullReadJitterMs = 500;

/**
A registry that drops its history again this soon after everything was read is given a pause, in milliseconds.
*/
export const fullReadIntervalMs = 1000;

/**
How this node's copy goes on.

`current`: by changes. `unverified`: the registry was away and states no era, so it may have come back from an older copy; its next
answer only shows that it is back. `outdated`: everything is needed, from the relay where there is one. `reading`: everything is
read from the registry.
*/
type Progress = 'current' | 'unverified' | 'outdated' | 'reading';

/**
Builds a follower; nothing is asked before `start`.
*/
export const createRegistryFollower = (
	options: RegistryFollowerOptions,
): RegistryFollower => {
	const {mirror, registry, clock, logger} = options;
	const answerEra = createEraTracker(mirror, logger);
	let isRunning = false;
	let progress: Progress = 'reading';
	let fullReadAt = -Infinity;
	let isInTouch: boolean | undefined;
	let confirmedAt: number | undefined;
	let isAskingPeer = false;
	let isReading = false;
	let ownReadsUntil = -Infinity;
	let introducedEra: number | undefined;
	let behindTimer: NodeJS.Timeout | undefined;
	let pause: NodeJS.Timeout | undefined;

	const apply = (answer: RegistryUpdate, origin: AnswerOrigin) => {
		const changes = mirror.apply(answer, clock(), origin);
		if (changes.length === 0) {
			return;
		}

		options.onChanges(changes);
		// What came from another node is known to others already.
		if (origin === 'registry') {
			options.announceChanges();
		}
	};

	const noteContact = (isNow: boolean, reason: string) => {
		if (isInTouch === isNow) {
			return;
		}

		isInTouch = isNow;
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
		if (!isRunning || !isTaken(answer)) {
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

	const noteAnswered = (reason: string) => {
		noteContact(true, reason);
		isReading = true;
		options.onRead();
	};

	const takeChanges = (
		answer: RegistryUpdate,
		asked: RegistryPosition,
		askedAt: number,
	): number => {
		if (progress === 'unverified') {
			progress = 'outdated';
			return 0;
		}

		const era = answerEra.eraOf(answer, asked);
		const own = mirror.position();
		if (era === asked.era && era === own.era) {
			apply({...answer, era}, 'registry');
			confirmedAt = confirmationTime(answer, askedAt, clock());
			noteAnswered(answer.kind);
			return options.hasJustStarted() ? startupPauseMs : registryPollPauseMs;
		}

		// Changes after a revision of another era have a gap before them. Another node may have told of the later era meanwhile.
		if (era > own.era) {
			progress = 'outdated';
		}

		return 0;
	};

	const takeEverything = (
		answer: RegistryUpdate,
		asked: RegistryPosition,
		askedAt: number,
	): number => {
		const era = answerEra.eraOf(answer, asked);
		apply({...answer, era}, 'registry');
		fullReadAt = clock();
		// Another node has told of a later era meanwhile.
		if (era < mirror.position().era) {
			return registryPollPauseMs;
		}

		progress = 'current';
		confirmedAt = askedAt;
		noteAnswered(answer.kind);
		return options.hasJustStarted() ? startupPauseMs : registryPollPauseMs;
	};

	const registryFailed = async (reason: string): Promise<number> => {
		mirror.sourceFailed(clock());
		isReading = false;
		options.onRead();
		noteContact(false, reason);
		if (progress === 'current' && !answerEra.isStated()) {
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
				return takeChanges(answer, asked, askedAt);
			}

			case 'snapshot': {
				return takeEverything(answer, asked, askedAt);
			}

			case 'history-lost': {
				logger.warn({...asked}, 'registry history is gone');
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

	// Undefined where the relay cannot help.
	const askRelay = async (relay: Address): Promise<number | undefined> => {
		isReading = false;
		const asked = mirror.position();
		const relayed = await options.askRelay(relay, asked);
		if (!isRunning) {
			return 0;
		}

		const own = mirror.position();
		const isFresh = relayed !== undefined && relayed.ageMs <= maximumRelayAgeMs;
		if (isFresh && isTaken(relayed.answer)) {
			const {answer, ageMs} = relayed;
			const era = answer.era ?? startPosition.era;
			if (era === own.era || (era > own.era && answer.kind === 'snapshot')) {
				apply(answer, 'peer');
				progress = 'current';
				confirmedAt = clock() - ageMs;
				return registryPollPauseMs;
			}
		}

		// Another node has told of a later era meanwhile, so the question was out of date.
		if (own.era !== asked.era) {
			return 0;
		}

		logger.info(
			{relay, ageMs: relayed?.ageMs, era: own.era},
			'relay of the registry does not answer; reading the registry',
		);
		return undefined;
	};

	const followRelay = async (relay: Address): Promise<number> => {
		const pauseMs = await askRelay(relay);
		if (pauseMs !== undefined) {
			return pauseMs;
		}

		ownReadsUntil = clock() + relayFallbackMs;
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

	const relayOrOwnReads = (): Address | undefined =>
		mirror.revision() === 0 || clock() < ownReadsUntil
			? undefined
			: options.relay();

	const followOnce = async (): Promise<number> => {
		switch (progress) {
			case 'reading': {
				return askRegistry();
			}

			case 'unverified':
			case 'current': {
				const relay = relayOrOwnReads();
				return relay === undefined ? askRegistry() : followRelay(relay);
			}

			case 'outdated': {
				const relay = options.relay();
				return relay === undefined ? readEverything() : followRelay(relay);
			}
		}
	};

	const run = async () => {
		const pauseMs = await followOnce();
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
			clearTimeout(behindTimer);
			clearTimeout(pause);
			await registry.close();
		},
		receiveStamp(stamp, from) {
			if (
				behindTimer !== undefined ||
				catchUpPosition(mirror.stamp(), stamp, introducedEra) === undefined
			) {
				return;
			}

			behindTimer = setTimeout(() => {
				behindTimer = undefined;
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

const isTaken = (answer: RegistryAnswer): answer is RegistryUpdate =>
	answer.kind === 'changes' || answer.kind === 'snapshot';

// An answer without changes that came after the whole wait was given when the wait was over. Any
// other may have been given as soon as the question was asked, and been long on its way.
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
