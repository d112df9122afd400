import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

/**
A seeded pseudorandom number generator, which makes every decision reproducible.
*/
export type Random = {
	/**
	Returns an integer from 0 (inclusive) to `bound` (exclusive).
	*/
	below(bound: number): number;
	/**
	Returns a number from 0 (inclusive) to 1 (exclusive).
	*/
	fraction(): number;
};

const fractionSteps = 2 ** 30;

/**
Creates a generator from an integer seed.
*/
export const createRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(seed);
	const below = (bound: number) =>
		bound <= 1 ? 0 : uniformInt(generator, 0, bound - 1);
	return {
		below,
		fraction: () => below(fractionSteps) / fractionSteps,
	};
};
