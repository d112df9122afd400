import {build, type Histogram} from 'hdr-histogram-js';

/**
Percentiles of a duration, in milliseconds.
*/
export type Percentiles = {
	readonly count: number;
	readonly p50: number;
	readonly p95: number;
	readonly p99: number;
	readonly mean: number;
};

/**
Collects durations in bounded memory.
*/
export type DurationHistogram = {
	/**
	@param milliseconds a duration; fractions are kept to a tenth.
	*/
	record(milliseconds: number, count?: number): void;
	percentiles(): Percentiles;
};

const unitsPerMillisecond = 10;
const highestMilliseconds = 600_000;

/**
Builds an empty histogram.
*/
export const createDurationHistogram = (): DurationHistogram => {
	const histogram: Histogram = build({
		bitBucketSize: 32,
		lowestDiscernibleValue: 1,
		highestTrackableValue: highestMilliseconds * unitsPerMillisecond,
		numberOfSignificantValueDigits: 2,
		autoResize: true,
	});
	const at = (percentile: number) =>
		histogram.getValueAtPercentile(percentile) / unitsPerMillisecond;
	return {
		record(milliseconds, count = 1) {
			const units = Math.round(milliseconds * unitsPerMillisecond);
			const bounded = Math.min(
				Math.max(0, units),
				highestMilliseconds * unitsPerMillisecond - 1,
			);
			histogram.recordValueWithCount(bounded, count);
		},
		percentiles: () => ({
			count: histogram.totalCount,
			p50: at(50),
			p95: at(95),
			p99: at(99),
			mean:
				histogram.totalCount === 0 ? 0 : histogram.mean / unitsPerMillisecond,
		}),
	};
};
