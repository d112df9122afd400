import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

/**
A seeded source of random numbers, so that every decision can be replayed.
*/
export type Random = {
	/**
	A whole number from 0 up to, but without, `bound`.
	*/
	below(bound: number): number;
	/**
	A number from 0 up to, but without, 1.
	*/
	fraction(): number;
};

const fractionSteps = 2 ** 30;

/**
Builds a random source from a whole-number seed.
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
