import type {Logger} from '../logging/index.ts';
import type {RegistryUpdate} from './registry-entry.ts';
import type {RegistryMirror} from './registry-mirror.ts';
import type {RegistryPosition} from './registry-position.ts';

/**
Determines the era of each answer of the registry.
*/
export type EraTracker = {
	/**
	The era of an answer, given the position at which the request was sent.
	*/
	eraOf(answer: RegistryUpdate, asked: RegistryPosition): number;
	/**
	Whether the registry has stated an era in an answer.
	*/
	isStated(): boolean;
};

/**
Creates a tracker for one registry. A registry that states a later era begins that era. Otherwise this node detects a restore and
increments the era itself: the answer is older than a position that the registry had confirmed, or a stated era decreased.
*/
export const createEraTracker = (
	mirror: Pick<RegistryMirror, 'isContradictedBy'>,
	logger: Logger,
): EraTracker => {
	let statedBefore: number | undefined;

	return {
		eraOf(answer, asked) {
			const {era: stated, revision, items} = answer;
			const hasDecreased =
				stated !== undefined &&
				statedBefore !== undefined &&
				stated < statedBefore;
			statedBefore = stated ?? statedBefore;
			if (stated !== undefined && stated > asked.era) {
				return stated;
			}

			const isEarlier =
				revision < asked.revision ||
				(answer.kind === 'snapshot' && mirror.isContradictedBy(answer, asked));
			if (!isEarlier && !hasDecreased) {
				return asked.era;
			}

			logger.warn(
				{
					era: stated,
					revision,
					askedEra: asked.era,
					askedRevision: asked.revision,
					items: items.length,
				},
				'registry went back to an earlier state without stating a later era',
			);
			return asked.era + 1;
		},
		isStated: () => statedBefore !== undefined,
	};
};
