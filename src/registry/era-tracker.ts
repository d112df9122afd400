import type {Logger} from '../logging/index.ts';
import type {RegistryUpdate} from './registry-entry.ts';
import type {RegistryMirror} from './registry-mirror.ts';
import type {RegistryPosition} from './registry-position.ts';

/**
Finds the era of the registry's answers.
*/
export type EraTracker = {
	/**
	The era of an answer to a question that was asked at a position.
	*/
	eraOf(answer: RegistryUpdate, asked: RegistryPosition): number;
	/**
	Whether the registry has stated an era in an answer.
	*/
	isStated(): boolean;
};

/**
Builds a finder for one registry. The registry states the era, or it shows: a node that asks at a position that the registry had
acknowledged must not be answered with an earlier one, nor must a stated era fall. Either begins an era that this node counts itself.
*/
export const createEraTracker = (
	mirror: Pick<RegistryMirror, 'isContradictedBy'>,
	logger: Logger,
): EraTracker => {
	let statedBefore: number | undefined;

	return {
		eraOf(answer, asked) {
			const {era: stated, revision, items} = answer;
			const hasFallen =
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
			if (!isEarlier && !hasFallen) {
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
				'registry answers with an earlier state than before, in no later era',
			);
			return asked.era + 1;
		},
		isStated: () => statedBefore !== undefined,
	};
};
