import {causeOf, causes, type Cause, type RequestLine} from './cause.ts';

/**
Requests by the second in which they came, as whoever asked them counts them.
*/
export type CountedSpan = {
	/**
	Seconds; the span lasts until the next one.
	*/
	readonly from: number;
	readonly late: number;
	/**
	Refused or failed for good.
	*/
	readonly lost: number;
};

/**
Requests of one span that were lost or late for one cause.
*/
export type AccountRow = {
	readonly from: number;
	readonly cause: Cause;
	/**
	Fractions, for causes share what was counted by the lines of the span.
	*/
	readonly lost: number;
	readonly late: number;
};

const delays: ReadonlySet<Cause> = new Set(
	causes.filter((cause) => cause.startsWith('late ')),
);

/**
Says for each span why its requests were lost and late.

The sums are those that were counted. A node bounds its lines, so what it wrote is taken as a sample: where
it wrote fewer lines of a kind than were counted, causes are scaled up; where it wrote more, as callers try
again, scaled down. What no line tells of is a cause of its own.
*/
export const accountFor = (
	spans: readonly CountedSpan[],
	lines: readonly RequestLine[],
): readonly AccountRow[] =>
	spans.flatMap((span, index) => {
		const until = spans[index + 1]?.from ?? Infinity;
		const found = lines
			.filter(({at, totalMs}) => {
				const cameAt = at - totalMs / 1000;
				return cameAt >= span.from && cameAt < until;
			})
			.map((line) => causeOf(line))
			.filter((cause) => cause !== undefined);
		const counts = Map.groupBy(found, (cause) => cause);
		const share = (cause: Cause, isDelay: boolean, counted: number): number => {
			const kind = found.filter((each) => delays.has(each) === isDelay);
			const isUnseen = kind.length === 0 && cause === 'seen by no line';
			if (isUnseen) {
				return counted;
			}

			return delays.has(cause) === isDelay && kind.length > 0
				? (counted * (counts.get(cause)?.length ?? 0)) / kind.length
				: 0;
		};

		return causes
			.map((cause) => ({
				from: span.from,
				cause,
				lost: share(cause, false, span.lost),
				late: share(cause, true, span.late),
			}))
			.filter(({lost, late}) => lost + late > 0);
	});

/**
The sums of rows by a key, greatest first.
*/
export const sumBy = (
	rows: readonly AccountRow[],
	keyOf: (row: AccountRow) => string,
): ReadonlyArray<{
	readonly key: string;
	readonly lost: number;
	readonly late: number;
}> =>
	[...Map.groupBy(rows, (row) => keyOf(row))]
		.map(([key, group]) => ({
			key,
			lost: group.reduce((sum, {lost}) => sum + lost, 0),
			late: group.reduce((sum, {late}) => sum + late, 0),
		}))
		.toSorted((left, right) => right.lost + right.late - left.lost - left.late);
