import {mean, standardDeviation} from 'simple-statistics';

/**
What one play of a day came to.
*/
export type Play = {
	readonly site: string;
	readonly day: string;
	readonly seed: string;
	readonly variant: string;
	/**
	Credit less prices, as a part of what was owed.
	*/
	readonly worth: number;
	/**
	Parts of all requests.
	*/
	readonly late: number;
	readonly refused: number;
	readonly failed: number;
	/**
	Thousands of tokens of shared prompt parts that were read again.
	*/
	readonly readAgain: number;
	/**
	Seconds of all nodes.
	*/
	readonly processor: number;
	/**
	Rules that were broken.
	*/
	readonly broken: readonly string[];
};

/**
How a variant differs from the complete one on a site: means over pairs of plays of the same day and seed.
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
Compares each variant with the complete one; plays without a partner are left out.
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
