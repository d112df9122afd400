// Reports why requests were lost or late, and how many streams of each size were served, from the request logs of nodes and request counts per second.
// Usage: npm run account -- LOG [REPORT] [PICTURE.svg]
// LOG contains the standard output of nodes. REPORT is a JSON file with `windows`; each window has its first
// second as `name`, and the counts `late`, `refused` and `failed`. Without REPORT, the log lines are counted.
// PICTURE is the file for a bar chart of the result.
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import * as z from 'zod';
import {accountFor, sumBy, type CountedSpan} from './account/account.ts';
import {causeOf, type RequestLine} from './account/cause.ts';
import {readRequestLines} from './account/read-lines.ts';
import {accountBySize, type SizeRow} from './account/sizes.ts';
import {drawBars} from './plots/draw-bars.ts';

// Length of a span when the log lines are counted.
const spanSeconds = 2;

const reportSchema = z.object({
	windows: z.array(
		z.object({
			name: z.string(),
			late: z.number(),
			refused: z.number(),
			failed: z.number(),
		}),
	),
});

const spansOfReport = (file: string): readonly CountedSpan[] =>
	reportSchema
		.parse(JSON.parse(readFileSync(file, 'utf8')))
		.windows.map(({name, late, refused, failed}) => ({
			from: Number(name),
			late,
			lost: refused + failed,
		}));

const spansOfLines = (
	lines: readonly RequestLine[],
): readonly CountedSpan[] => {
	const spans = new Map<number, {late: number; lost: number}>();
	for (const line of lines) {
		const cause = causeOf(line);
		const arrivedAt = line.at - line.totalMs / 1000;
		const from = Math.floor(arrivedAt / spanSeconds) * spanSeconds;
		const span = spans.get(from) ?? {late: 0, lost: 0};
		spans.set(from, span);
		if (cause === undefined) {
			continue;
		}

		if (cause.startsWith('late ')) {
			span.late += 1;
		} else {
			span.lost += 1;
		}
	}

	return [...spans]
		.map(([from, counts]) => ({from, ...counts}))
		.toSorted((left, right) => left.from - right.from);
};

const table = (title: string, rows: ReturnType<typeof sumBy>): string =>
	[
		`| ${title} | lost | late |`,
		'| --- | --- | --- |',
		...rows.map(
			({key, lost, late}) =>
				`| ${key} | ${lost.toFixed(0)} | ${late.toFixed(0)} |`,
		),
		'',
	].join('\n');

const sizeTable = (rows: readonly SizeRow[]): string =>
	[
		'| route | zone | size | streams | served | late | refused | cut at the deadline | cut by a failure | caller left | wait, ms | between chunks, ms | load at start |',
		'| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |',
		...rows.map(
			(row) =>
				`| ${[
					row.route,
					row.zone,
					row.sizeClass,
					row.streams,
					(row.served / row.streams).toFixed(3),
					row.late,
					row.refused,
					row.cutAtDeadline,
					row.cutByFailure,
					row.callerLeft,
					row.meanWaitMs.toFixed(0),
					row.meanChunkIntervalMs.toFixed(0),
					row.meanLoadAtStart.toFixed(1),
				].join(' | ')} |`,
		),
		'',
	].join('\n');

const main = async ([log, report, picture]: readonly string[]) => {
	if (log === undefined) {
		process.stderr.write(
			'No log file given. Usage: npm run account -- LOG [REPORT] [PICTURE.svg]\n',
		);
		process.exitCode = 1;
		return;
	}

	const lines = await readRequestLines(log);
	const spans =
		report === undefined ? spansOfLines(lines) : spansOfReport(report);
	const rows = accountFor(spans, lines);
	const total = sumBy(rows, () => 'all');
	const bySecond = sumBy(rows, ({from}) => String(from)).toSorted(
		(left, right) => Number(left.key) - Number(right.key),
	);
	process.stdout.write(
		[
			table('cause', [...total, ...sumBy(rows, ({cause}) => cause)]),
			table('from second', bySecond),
			table(
				'second and cause',
				sumBy(rows, ({from, cause}) => `${from} ${cause}`).slice(0, 15),
			),
			sizeTable(accountBySize(lines)),
		].join('\n'),
	);
	if (picture === undefined) {
		return;
	}

	const svg = await drawBars({
		title: 'Lost and late requests by second of arrival',
		values: rows.map(({from, cause, lost, late}) => ({
			second: from,
			cause,
			requests: lost + late,
		})),
		x: 'second',
		y: 'requests',
		color: 'cause',
	});
	writeFileSync(picture, svg);
};

await main(process.argv.slice(2));
