import {createRandom, type Random} from '../../../src/shared/index.ts';
import type {Prompt, Route} from '../../../src/routes/index.ts';
import {routeOf} from '../fixtures.ts';
import type {SimulatedRegion, SimulatedRequest} from './stream-cluster.ts';

type StreamKind = {
	readonly route: Route;
	/**
	Requests per second and engine at load 1.
	*/
	readonly perSecond: number;
	readonly promptTokens: Distribution;
	readonly tokens: Distribution;
};

type Distribution = {
	readonly mean: number;
	/**
	Standard deviation of the logarithm.
	*/
	readonly spread: number;
	readonly maximum: number;
};

const streamKinds: readonly StreamKind[] = [
	{
		route: routeOf({
			name: 'draft',
			kind: 'streaming',
			priority: 2,
			timeoutMs: 15_000,
			targetLatencyMs: 1200,
			isResumable: true,
		}),
		perSecond: 1.75,
		promptTokens: {mean: 6600, spread: 1, maximum: 54_000},
		tokens: {mean: 380, spread: 0.44, maximum: 1120},
	},
	{
		route: routeOf({
			name: 'digest',
			kind: 'streaming',
			priority: 1,
			timeoutMs: 12_000,
			targetLatencyMs: 800,
			maximumAttempts: 1,
		}),
		perSecond: 2.9,
		promptTokens: {mean: 820, spread: 0.6, maximum: 3300},
		tokens: {mean: 290, spread: 0.69, maximum: 952},
	},
	{
		route: routeOf({
			name: 'check',
			kind: 'streaming',
			priority: 0,
			timeoutMs: 3000,
			targetLatencyMs: 800,
		}),
		perSecond: 2.7,
		promptTokens: {mean: 2300, spread: 0.8, maximum: 6900},
		tokens: {mean: 24, spread: 1, maximum: 90},
	},
];

// Standard deviation of the logarithm of a caller's error in the estimated length.
const hintSpread = 0.5;
const secondMs = 1000;

/**
Shape of the traffic: each region has its peak after the other.
*/
export type WorkloadShape = {
	/**
	Traffic of all regions together as a multiple of `perSecond`.
	*/
	readonly load: number;
	readonly seconds: number;
	readonly peakSeconds: number;
	/**
	Traffic of a region that is not at its peak, as a fraction of its part of the load. The region at its peak has the rest.
	*/
	readonly trough: number;
};

/**
Draws the requests of all regions. The mean traffic of a region is in proportion to its engines.
*/
export const drawStreams = (
	regions: readonly SimulatedRegion[],
	{load, seconds, peakSeconds, trough}: WorkloadShape,
	seed: number,
): readonly SimulatedRequest[] => {
	const random = createRandom(seed);
	const allEngines = regions.reduce((sum, {engines}) => sum + engines, 0);
	const peakOf = ({engines}: SimulatedRegion) =>
		(allEngines - (allEngines - engines) * trough) / engines;
	return regions.flatMap((region, index) =>
		streamKinds.flatMap((kind) =>
			Array.from({length: seconds}, (_, second) => {
				const isAtPeak =
					Math.floor(second / peakSeconds) % regions.length === index;
				const mean =
					kind.perSecond *
					region.engines *
					load *
					(isAtPeak ? peakOf(region) : trough);
				return Array.from({length: poisson(mean, random)}, () =>
					drawStream(kind, region, second * secondMs, random),
				);
			}).flat(),
		),
	);
};

const drawStream = (
	{route, promptTokens, tokens}: StreamKind,
	region: SimulatedRegion,
	second: number,
	random: Random,
): SimulatedRequest => {
	const length = draw(tokens, random);
	const estimate = length * Math.exp(normal(random) * hintSpread);
	const prompt: Prompt = {
		parts: [],
		tokensIn: draw(promptTokens, random),
		tokensOut: tokens.maximum,
		expectedTokensOut: Math.min(tokens.maximum, Math.round(estimate)),
	};
	return {
		at: second + random.fraction() * secondMs,
		region: region.name,
		route,
		prompt,
		tokens: length,
	};
};

const draw = (
	{mean, spread, maximum}: Distribution,
	random: Random,
): number => {
	const value = mean * Math.exp(normal(random) * spread - spread ** 2 / 2);
	return Math.max(1, Math.min(maximum, Math.round(value)));
};

// Box-Muller transform.
const normal = (random: Random): number =>
	Math.sqrt(-2 * Math.log(1 - random.fraction())) *
	Math.cos(2 * Math.PI * random.fraction());

const poisson = (mean: number, random: Random): number => {
	const limit = Math.exp(-mean);
	let product = random.fraction();
	let count = 0;
	while (product > limit) {
		product *= random.fraction();
		count += 1;
	}

	return count;
};
