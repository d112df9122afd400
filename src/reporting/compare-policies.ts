import {cumulativeStdNormalProbability} from 'simple-statistics';
import {mergeHistograms, type Percentiles} from './histogram.ts';
import type {NodeReport, ReportRow} from './recorder.ts';

/**
Statistics of one policy over all nodes that reported.
*/
export type PolicyFigures = {
	readonly policy: string;
	readonly requests: number;
	readonly answeredShare: number;
	readonly awayShare: number;
	/**
	Cost per thousand tokens.
	*/
	readonly costPerThousandTokens: number;
	readonly firstToken: Percentiles;
	readonly interToken: Percentiles;
	readonly errors: Readonly<Record<string, number>>;
};

/**
A difference between two policies, with its confidence.
*/
export type Difference = {
	readonly measure: 'answered share' | 'away share' | 'mean first token (ms)';
	/**
	Value of the second policy minus value of the first.
	*/
	readonly difference: number;
	/**
	Confidence from 0 to 1 that the difference is not due to chance.
	*/
	readonly confidence: number;
};

/**
Comparison of two policies.
*/
export type PolicyComparison = {
	readonly first: PolicyFigures;
	readonly second: PolicyFigures;
	readonly differences: readonly Difference[];
};

/**
Aggregates the statistics of one policy over the reports of several nodes.
*/
export const figuresOf = (
	reports: readonly NodeReport[],
	policy: string,
): PolicyFigures => {
	const rows = reports
		.flatMap((report) => report.rows)
		.filter((row) => row.dimension === 'policy' && row.name === policy);
	const requests = sumOf(rows, (row) => row.requests);
	const answered = sumOf(rows, (row) => row.answered);
	const tokens = sumOf(rows, (row) => row.tokens);
	return {
		policy,
		requests,
		answeredShare: share(answered, requests),
		awayShare: share(
			sumOf(rows, (row) => row.away),
			answered,
		),
		costPerThousandTokens: share(1000 * sumOf(rows, (row) => row.cost), tokens),
		firstToken: mergeHistograms(rows.map((row) => row.firstTokenHistogram)),
		interToken: mergeHistograms(rows.map((row) => row.interTokenHistogram)),
		errors: sumErrors(rows),
	};
};

/**
Compares two policies that ran concurrently on slices of the same traffic.
*/
export const comparePolicies = (
	reports: readonly NodeReport[],
	names: readonly [string, string],
): PolicyComparison => {
	const first = figuresOf(reports, names[0]);
	const second = figuresOf(reports, names[1]);
	return {
		first,
		second,
		differences: [
			shareDifference('answered share', first, second, 'answeredShare'),
			shareDifference('away share', first, second, 'awayShare'),
			meanDifference(first.firstToken, second.firstToken),
		],
	};
};

const sumOf = (
	rows: readonly ReportRow[],
	figure: (row: ReportRow) => number,
): number => {
	let sum = 0;
	for (const row of rows) {
		sum += figure(row);
	}

	return sum;
};

const share = (part: number, whole: number): number =>
	whole === 0 ? 0 : part / whole;

const sumErrors = (
	rows: readonly ReportRow[],
): Readonly<Record<string, number>> => {
	const sums: Record<string, number> = {};
	for (const {errors} of rows) {
		for (const [kind, count] of Object.entries(errors)) {
			sums[kind] = (sums[kind] ?? 0) + count;
		}
	}

	return sums;
};

// Two-sided, using the normal distribution, which is a good approximation from a few dozen requests.
const confidenceOf = (difference: number, standardError: number): number =>
	standardError === 0
		? 0
		: 2 * cumulativeStdNormalProbability(Math.abs(difference) / standardError) -
			1;

const shareDifference = (
	measure: Difference['measure'],
	first: PolicyFigures,
	second: PolicyFigures,
	figure: 'answeredShare' | 'awayShare',
): Difference => {
	const difference = second[figure] - first[figure];
	const varianceOf = (figures: PolicyFigures) =>
		share(figures[figure] * (1 - figures[figure]), figures.requests);
	const standardError = Math.sqrt(varianceOf(first) + varianceOf(second));
	return {
		measure,
		difference,
		confidence: confidenceOf(difference, standardError),
	};
};

const meanDifference = (
	first: Percentiles,
	second: Percentiles,
): Difference => {
	const difference = second.mean - first.mean;
	const varianceOf = ({deviation, count}: Percentiles) =>
		share(deviation ** 2, count);
	const standardError = Math.sqrt(varianceOf(first) + varianceOf(second));
	return {
		measure: 'mean first token (ms)',
		difference,
		confidence: confidenceOf(difference, standardError),
	};
};
