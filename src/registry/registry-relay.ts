import {createLongPollWaiters} from '../shared/index.ts';
import type {RegistryAnswer} from './registry-entry.ts';
import type {RegistryMirror} from './registry-mirror.ts';
import type {RegistryCursor} from './registry-position.ts';

/**
What a node that reads the registry tells one that does not.
*/
export type RelayedAnswer = {
	readonly answer: RegistryAnswer;
	/**
	How long ago the registry confirmed it to the answering node, in milliseconds.
	*/
	readonly ageMs: number;
};

/**
Passes the registry on to other nodes of the zone, so that few nodes call the registry.
*/
export type RegistryRelay = {
	/**
	What came after a position; held until this node has news or a confirmation of its own.
	*/
	answer(after: RegistryCursor): Promise<RelayedAnswer>;
	/**
	Answers what is held; to be called with each answer and each failure of the registry.
	*/
	release(): void;
};

/**
What a relay is built from.
*/
export type RegistryRelayOptions = {
	readonly mirror: RegistryMirror;
	/**
	Whether this node reads the registry itself and is answered.
	*/
	readonly isReading: () => boolean;
	readonly confirmedAt: () => number | undefined;
	readonly clock: () => number;
};

/**
How long a question is held at the most, in milliseconds. Longer than this node's own question to
the registry is, so that the answer usually follows upon a confirmation.
*/
export const relayLongPollMs = 1900;

/**
Builds a relay that holds nothing.
*/
export const createRegistryRelay = (
	options: RegistryRelayOptions,
): RegistryRelay => {
	const {mirror, clock, confirmedAt, isReading} = options;
	const held = createLongPollWaiters();

	const eraOf = (after: RegistryCursor) => after.era ?? mirror.position().era;

	const answerNow = (after: RegistryCursor): RelayedAnswer => {
		const now = clock();
		// Two nodes that each take the other for the reader must not wait for each other. A node that knows a later era
		// must not be answered with an earlier one.
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
				await held.wait(relayLongPollMs);
			}

			return answerNow(after);
		},
		release: held.release,
	};
};
