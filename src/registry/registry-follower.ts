import type {Logger} from '../logging/index.ts';
import type {Address} from '../shared/index.ts';
import type {RegistryAnswer, RegistrySource} from './registry-entry.ts';
import type {RelayedAnswer} from './registry-relay.ts';
import type {MirrorChange} from './mirror-change.ts';
import type {AnswerOrigin, RegistryMirror} from './registry-mirror.ts';

/**
Keeps a node's copy of the registry up to date, from the registry itself and from other nodes.
*/
export type RegistryFollower = {
	start(): void;
	stop(): Promise<void>;
	/**
	Says which revision another node has; a node that is behind asks it.
	*/
	heard(revision: number, from: Address): void;
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
	Asks another node for what came after a revision.
	*/
	readonly askPeer: (peer: Address, after: number) => Promise<RegistryAnswer>;
	/**
	Another node to ask while the registry does not answer.
	*/
	readonly pickPeer: () => Address | undefined;
	/**
	The node by way of which the registry is followed; undefined where this node reads it itself.
	*/
	readonly relay: () => Address | undefined;
	/**
	Asks a relay for what came after a revision; held while there is nothing.
	*/
	readonly askRelay: (
		relay: Address,
		after: number,
	) => Promise<RelayedAnswer | undefined>;
	/**
	Whether this node has just started, as all others may have, and knows what it needs to serve.
	*/
	readonly isNewcomer: () => boolean;
	/**
	Told after each answer and each failure of the registry.
	*/
	readonly onRead: () => void;
	readonly clock: () => number;
	readonly logger: Logger;
	readonly onChanges: (changes: readonly MirrorChange[]) => void;
	/**
	Told when this node read changes from the registry itself, so that others may hear of them.
	*/
	readonly onNews: () => void;
};

/**
How long a question for changes is held, in milliseconds. A registry that falls silent is noticed
that much later at the worst, well within the three seconds for a leaving backend server.
*/
export const watchWaitMs = 1500;

/**
Pause between two answers, in milliseconds, so that a burst of changes costs one call.
*/
export const watchPauseMs = 250;

/**
The same pause while a node does not know yet who reads the registry for its zone, in milliseconds. After a
stop of all nodes each reads for itself while servers enter themselves one after the other, and each entry
ends a question. No bound on changes is as short in the first seconds of a node.
*/
export const newcomerPauseMs = 1000;

/**
Pause after a refusal or a failure, in milliseconds.
*/
export const retryPauseMs = 400;

/**
How long a node that hears of a later revision waits for its own watch, in milliseconds.
*/
export const behindPatienceMs = 120;

/**
How long a node reads the registry itself after its relay failed it, in milliseconds: until
membership has found out about the relay.
*/
export const relayPauseMs = 3000;

/**
A relay whose own confirmation is older has trouble with the registry, in milliseconds. Where there
were changes a relay counts from when it asked, so the time of a held question is part of it.
*/
export const oldestRelayedMs = watchWaitMs + 1000;

/**
Builds a follower; nothing is asked before `start`.
*/
export const createRegistryFollower = (
	options: RegistryFollowerOptions,
): RegistryFollower => {
	const {mirror, registry, clock, logger} = options;
	let isRunning = false;
	let isNeedsSnapshot = true;
	let isInTouch: boolean | undefined;
	let confirmedAt: number | undefined;
	let isAskingPeer = false;
	let isReading = false;
	let ownReadsUntil = -Infinity;
	let behindTimer: NodeJS.Timeout | undefined;
	let pause: NodeJS.Timeout | undefined;

	const take = (
		answer: RegistryAnswer,
		origin: AnswerOrigin,
	): 'taken' | 'unavailable' => {
		switch (answer.kind) {
			case 'changes':
			case 'snapshot': {
				const changes = mirror.apply(answer, clock(), origin);
				if (changes.length === 0) {
					return 'taken';
				}

				options.onChanges(changes);
				// What came from another node is known to others already.
				if (origin === 'registry') {
					options.onNews();
				}

				return 'taken';
			}

			case 'history-lost': {
				logger.warn(
					{revision: mirror.revision(), origin},
					'registry history is gone; reading everything anew',
				);
				isNeedsSnapshot = true;
				return 'taken';
			}

			case 'unavailable': {
				return 'unavailable';
			}
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

	const noteRevision = (answer: RegistryAnswer, known: number) => {
		if (!('revision' in answer) || answer.revision >= known) {
			return;
		}

		const {era, revision, items} = answer;
		logger.warn(
			{era, revision, known, items: items.length},
			'registry answers with an earlier revision than before',
		);
	};

	const askPeer = async (peer: Address) => {
		if (isAskingPeer) {
			return;
		}

		isAskingPeer = true;
		const answer = await options.askPeer(peer, mirror.revision());
		isAskingPeer = false;
		if (isRunning && take(answer, 'peer') === 'taken') {
			isNeedsSnapshot &&= mirror.revision() === 0;
		}
	};

	const askRegistry = async (): Promise<number> => {
		const isFull = isNeedsSnapshot || mirror.revision() === 0;
		const askedAt = clock();
		const known = mirror.revision();
		const answer = isFull
			? await registry.snapshot()
			: await registry.changes(known, watchWaitMs);
		if (!isRunning) {
			return 0;
		}

		noteRevision(answer, known);

		if (take(answer, 'registry') === 'taken') {
			isNeedsSnapshot = answer.kind === 'history-lost';
			confirmedAt = confirmationTime(answer, askedAt, clock());
			noteContact(true, answer.kind);
			isReading = true;
			options.onRead();
			return options.isNewcomer() ? newcomerPauseMs : watchPauseMs;
		}

		mirror.sourceFailed(clock());
		isReading = false;
		options.onRead();
		noteContact(
			false,
			answer.kind === 'unavailable' ? answer.reason : answer.kind,
		);
		const peer = options.pickPeer();
		if (peer !== undefined) {
			await askPeer(peer);
		}

		return retryPauseMs;
	};

	const followRelay = async (relay: Address): Promise<number> => {
		isReading = false;
		const relayed = await options.askRelay(relay, mirror.revision());
		if (!isRunning) {
			return 0;
		}

		const isFresh =
			relayed !== undefined &&
			relayed.ageMs <= oldestRelayedMs &&
			take(relayed.answer, 'peer') === 'taken';
		if (isFresh) {
			confirmedAt = clock() - relayed.ageMs;
			return watchPauseMs;
		}

		ownReadsUntil = clock() + relayPauseMs;
		logger.info(
			{relay, ageMs: relayed?.ageMs},
			'relay of the registry does not answer; reading the registry',
		);
		return 0;
	};

	const followOnce = async (): Promise<number> => {
		const relay =
			isNeedsSnapshot || mirror.revision() === 0 || clock() < ownReadsUntil
				? undefined
				: options.relay();
		return relay === undefined ? askRegistry() : followRelay(relay);
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
		heard(revision, from) {
			if (behindTimer !== undefined || revision <= mirror.revision()) {
				return;
			}

			behindTimer = setTimeout(() => {
				behindTimer = undefined;
				if (isRunning && revision > mirror.revision()) {
					void askPeer(from);
				}
			}, behindPatienceMs);
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

// An answer without changes that came after the whole wait was given when the wait was over. Any
// other may have been given as soon as the question was asked, and been long on its way.
const confirmationTime = (
	answer: RegistryAnswer,
	askedAt: number,
	now: number,
): number =>
	answer.kind === 'changes' &&
	answer.items.length === 0 &&
	now - askedAt >= watchWaitMs
		? askedAt + watchWaitMs
		: askedAt;
