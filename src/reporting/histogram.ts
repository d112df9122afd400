import {
	build,
	decodeFromCompressedBase64,
	encodeIntoCompressedBase64,
	type Histogram,
} from 'hdr-histogram-js';

/**
Percentiles of a duration, in milliseconds.
*/
export type Percentiles = {
	readonly count: number;
	readonly p50: number;
	readonly p95: number;
	readonly p99: number;
	readonly mean: number;
	/**
	Standard deviation.
	*/
	readonly deviation: number;
};

/**
Collects durations in bounded memory.
*/
export type DurationHistogram = {
	/**
	Records a duration in milliseconds with a resolution of a tenth of a millisecond.
	*/
	record(milliseconds: number, count?: number): void;
	percentiles(): Percentiles;
	/**
	Encodes the histogram as text, so that it can be merged with those of other nodes.
	*/
	encode(): string;
};

const unitsPerMillisecond = 10;
const highestMilliseconds = 600_000;

const buildEmpty = (): Histogram =>
	build({
		bitBucketSize: 32,
		lowestDiscernibleValue: 1,
		highestTrackableValue: highestMilliseconds * unitsPerMillisecond,
		numberOfSignificantValueDigits: 2,
		autoResize: true,
	});

const percentilesOf = (histogram: Histogram): Percentiles => {
	const inMilliseconds = (units: number) => units / unitsPerMillisecond;
	const at = (percentile: number) =>
		inMilliseconds(histogram.getValueAtPercentile(percentile));
	const isEmpty = histogram.totalCount === 0;
	return {
		count: histogram.totalCount,
		p50: at(50),
		p95: at(95),
		p99: at(99),
		mean: isEmpty ? 0 : inMilliseconds(histogram.mean),
		deviation: isEmpty ? 0 : inMilliseconds(histogram.stdDeviation),
	};
};

/**
Creates an empty histogram.
*/
export const createDurationHistogram = (): DurationHistogram => {
	const histogram = buildEmpty();
	return {
		record(milliseconds, count = 1) {
			const units = Math.round(milliseconds * unitsPerMillisecond);
			const highest = highestMilliseconds * unitsPerMillisecond - 1;
			histogram.recordValueWithCount(
				Math.min(Math.max(0, units), highest),
				count,
			);
		},
		percentiles: () => percentilesOf(histogram),
		encode: () => encodeIntoCompressedBase64(histogram),
	};
};

/**
Merges the encoded histograms of several nodes and returns the percentiles over all recorded durations.
*/
export const mergeHistograms = (
	encoded: ReadonlyArray<string | undefined>,
): Percentiles => {
	const merged = buildEmpty();
	for (const text of encoded) {
		if (text !== undefined) {
			merged.add(decodeFromCompressedBase64(text));
		}
	}

	return percentilesOf(merged);
};
