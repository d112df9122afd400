import {causeOf, causes, type Cause, type RequestLine} from './cause.ts';

/**
Number of lost and late requests that arrived in one span of time, as counted by the caller.
*/
export type CountedSpan = {
	/**
	Start in seconds; the span ends where the next one starts.
	*/
	readonly from: number;
	readonly late: number;
	/**
	Requests that were refused or failed in the end.
	*/
	readonly lost: number;
};

/**
Number of requests of one span that were lost or late for one cause.
*/
export type AccountRow = {
	readonly from: number;
	readonly cause: Cause;
	/**
	Not necessarily an integer: the counted requests are split among the causes in proportion to the log lines.
	*/
	readonly lost: number;
	readonly late: number;
};

const delayCauses: ReadonlySet<Cause> = new Set(
	causes.filter((cause) => cause.startsWith('late ')),
);

/**
Splits the lost and late requests of each span by cause.

The totals equal the counts. Nodes limit their log lines, so the lines are treated as a sample: causes are
scaled up if there are fewer lines than counted requests, and scaled down if there are more, as happens when
callers retry. Counted requests without any log line get the cause `seen by no line`.
*/
export const accountFor = (
	spans: readonly CountedSpan[],
	lines: readonly RequestLine[],
): readonly AccountRow[] =>
	spans.flatMap((span, index) => {
		const end = spans[index + 1]?.from ?? Infinity;
		const foundCauses = lines
			.filter(({at, totalMs}) => {
				const arrivedAt = at - totalMs / 1000;
				return arrivedAt >= span.from && arrivedAt < end;
			})
			.map((line) => causeOf(line))
			.filter((cause) => cause !== undefined);
		const counts = Map.groupBy(foundCauses, (cause) => cause);
		const share = (cause: Cause, isDelay: boolean, counted: number): number => {
			const sameKind = foundCauses.filter(
				(each) => delayCauses.has(each) === isDelay,
			);
			const isUnseen = sameKind.length === 0 && cause === 'seen by no line';
			if (isUnseen) {
				return counted;
			}

			return delayCauses.has(cause) === isDelay && sameKind.length > 0
				? (counted * (counts.get(cause)?.length ?? 0)) / sameKind.length
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
Sums rows by key, largest total first.
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
