import {mean, standardDeviation} from 'simple-statistics';

/**
Result of one play of a day.
*/
export type Play = {
	readonly site: string;
	readonly day: string;
	readonly seed: string;
	readonly variant: string;
	/**
	Credit minus prices, as a fraction of the credit due.
	*/
	readonly worth: number;
	/**
	Fraction of all requests, as are `refused` and `failed`.
	*/
	readonly late: number;
	readonly refused: number;
	readonly failed: number;
	/**
	Tokens of shared prompt parts that were computed again, in thousands.
	*/
	readonly readAgain: number;
	/**
	Processor time of all nodes, in seconds.
	*/
	readonly processor: number;
	/**
	Names of the rules that were broken.
	*/
	readonly broken: readonly string[];
};

/**
Mean differences between a variant and the complete one on a site, over pairs of plays with the same day and seed.
*/
export type Comparison = {
	readonly site: string;
	readonly variant: string;
	readonly pairs: number;
	readonly worth: number;
	/**
	Standard deviation of the differences in worth.
	*/
	readonly spread: number;
	readonly late: number;
	readonly refused: number;
	readonly failed: number;
	readonly readAgain: number;
	readonly processor: number;
	readonly broken: readonly string[];
};

/**
Compares each variant with the complete one. Ignores plays without a complete play of the same day and seed.
*/
export const compareVariants = (
	plays: readonly Play[],
	complete: string,
): readonly Comparison[] => {
	const keyOf = ({site, day, seed}: Play) => `${site} ${day} ${seed}`;
	const partners = new Map(
		plays
			.filter(({variant}) => variant === complete)
			.map((play) => [keyOf(play), play]),
	);
	const paired = plays
		.filter(({variant}) => variant !== complete)
		.map((play) => ({play, partner: partners.get(keyOf(play))}))
		.filter((pair): pair is Pair => pair.partner !== undefined);
	return Map.groupBy(paired, ({play}) => `${play.site} ${play.variant}`)
		.values()
		.map((pairs) => compare(pairs))
		.toArray()
		.toSorted((left, right) =>
			left.site === right.site
				? left.worth - right.worth
				: left.site.localeCompare(right.site),
		);
};

type Pair = {readonly play: Play; readonly partner: Play};

type Figure =
	'worth' | 'late' | 'refused' | 'failed' | 'readAgain' | 'processor';

const compare = (pairs: readonly Pair[]): Comparison => {
	const differences = (figure: Figure) =>
		pairs.map(({play, partner}) => play[figure] - partner[figure]);
	const {site, variant} = pairs[0]!.play;
	return {
		site,
		variant,
		pairs: pairs.length,
		worth: mean(differences('worth')),
		spread: standardDeviation(differences('worth')),
		late: mean(differences('late')),
		refused: mean(differences('refused')),
		failed: mean(differences('failed')),
		readAgain: mean(differences('readAgain')),
		processor: mean(differences('processor')),
		broken: [...new Set(pairs.flatMap(({play}) => play.broken))],
	};
};
