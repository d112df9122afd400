import {createLongPollWaiters} from '../shared/index.ts';
import type {RegistryAnswer} from './registry-entry.ts';
import type {RegistryMirror} from './registry-mirror.ts';
import type {RegistryCursor} from './registry-position.ts';

/**
The answer of a node that reads the registry to a node that does not.
*/
export type RelayedAnswer = {
	readonly answer: RegistryAnswer;
	/**
	How long ago the registry confirmed this state to the answering node, in milliseconds.
	*/
	readonly ageMs: number;
};

/**
Relays the registry to other nodes of the zone, so that few nodes call the registry itself.
*/
export type RegistryRelay = {
	/**
	Returns the changes after a position. The request is held until this node reads changes or a confirmation.
	*/
	answer(after: RegistryCursor): Promise<RelayedAnswer>;
	/**
	Answers the requests that are held. The caller invokes it after each answer and each failure of the registry.
	*/
	release(): void;
};

/**
The mirror that a relay serves, and this node's connection to the registry.
*/
export type RegistryRelayOptions = {
	readonly mirror: RegistryMirror;
	/**
	Whether this node reads the registry itself and the registry answers.
	*/
	readonly isReading: () => boolean;
	readonly confirmedAt: () => number | undefined;
	readonly clock: () => number;
};

/**
Maximum time for which a relay holds a request, in milliseconds. It is longer than this node's own long poll of the
registry, so that the answer usually follows a confirmation by the registry.
*/
export const relayLongPollMs = 1900;

/**
Creates a relay that holds no requests.
*/
export const createRegistryRelay = (
	options: RegistryRelayOptions,
): RegistryRelay => {
	const {mirror, clock, confirmedAt, isReading} = options;
	const waiters = createLongPollWaiters();

	const eraOf = (after: RegistryCursor) => after.era ?? mirror.position().era;

	const answerNow = (after: RegistryCursor): RelayedAnswer => {
		const now = clock();
		// Two nodes that each consider the other to be the reader must not wait for each other. A node that knows a
		// later era must not receive an answer of an earlier one.
		return isReading() &&
			mirror.revision() > 0 &&
			eraOf(after) <= mirror.position().era
			? {
					answer: mirror.answerFor(after, now),
					ageMs: Math.round(now - (confirmedAt() ?? -Infinity)),
				}
			: {
					answer: {kind: 'unavailable', reason: 'not reading the registry'},
					ageMs: 0,
				};
	};

	return {
		async answer(after) {
			const own = mirror.position();
			if (
				isReading() &&
				after.revision > 0 &&
				eraOf(after) === own.era &&
				after.revision >= own.revision
			) {
				await waiters.wait(relayLongPollMs);
			}

			return answerNow(after);
		},
		release: waiters.release,
	};
};
