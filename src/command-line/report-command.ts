import {Command, Option} from 'clipanion';
import type {GatheredReports} from '../administration/index.ts';
import {
	comparePolicies,
	type BurnReport,
	type PolicyComparison,
	type ReportRow,
} from '../reporting/index.ts';
import {callAdministration} from './administration-call.ts';
import {AdministrationCommand} from './administration-command.ts';
import {exitCodes} from './exit-codes.ts';

/**
`quillford report`: prints the burn rates of the service-level objectives, cost, latency and the share of
requests served away from their region.
*/
export class ReportCommand extends AdministrationCommand {
	static override paths = [['report']];

	static override usage = Command.Usage({
		description: 'Report burn, cost, tail latency and away share',
		details:
			'A node reports the requests that it answered. With --all it also queries all other nodes and lists those that do not answer.',
		examples: [
			[
				'From one node',
				'quillford report --administration-address 10.0.0.1:8002 --administration-key KEY',
			],
			[
				'From all nodes, as JSON',
				'quillford report --all --json --administration-address 10.0.0.1:8002 --administration-key KEY',
			],
		],
	});

	all = Option.Boolean('--all', false, {description: 'Query all nodes'});

	compare = Option.String('--compare', {
		description: 'Two policies to compare, separated by a comma',
	});

	async execute(): Promise<number> {
		const target = this.target();
		if (!target) {
			return exitCodes.usage;
		}

		const answer = await callAdministration<GatheredReports>(
			target,
			`/report?scope=${this.all ? 'all' : 'node'}`,
		);
		if (answer.isErr) {
			this.fail(answer.error);
			return exitCodes.failure;
		}

		const names = this.compare?.split(',');
		if (names && names.length !== 2) {
			this.fail('--compare requires two policies: --compare FIRST,SECOND');
			return exitCodes.usage;
		}

		if (names) {
			const comparison = comparePolicies(answer.value.reports, [
				names[0]!,
				names[1]!,
			]);
			this.print(this.json ? asJson(comparison) : formatComparison(comparison));
			return exitCodes.ok;
		}

		this.print(this.json ? asJson(answer.value) : format(answer.value));
		return exitCodes.ok;
	}
}

const format = ({reports, unanswered}: GatheredReports): string =>
	[
		...reports.flatMap(({node, rows, burn}) => [
			`node ${node}`,
			formatColumns([rowTitles, ...rows.map((row) => formatRow(row))]),
			...burn.map((entry) => formatBurn(entry)),
			'',
		]),
		unanswered.length > 0
			? `did not answer: ${unanswered.join(', ')}`
			: 'all nodes asked have answered',
	].join('\n');

const asJson = (value: unknown): string => JSON.stringify(value, undefined, 2);

const formatComparison = ({
	first,
	second,
	differences,
}: PolicyComparison): string =>
	[
		formatColumns([
			['measure', first.policy, second.policy],
			...comparedMeasures.map(([title, figure]) => [
				title,
				figure(first),
				figure(second),
			]),
		]),
		'',
		...differences.map(
			({measure, difference, confidence}) =>
				`difference in ${measure}: ${difference.toPrecision(3)} (confidence ${(100 * confidence).toFixed(1)} %)`,
		),
	].join('\n');

const asPercent = (share: number): string => `${(100 * share).toFixed(1)} %`;

const comparedMeasures: ReadonlyArray<
	readonly [string, (figures: PolicyComparison['first']) => string]
> = [
	['requests', ({requests}) => String(requests)],
	['answered', ({answeredShare}) => asPercent(answeredShare)],
	['away', ({awayShare}) => asPercent(awayShare)],
	[
		'cost of 1,000 tokens',
		(figures) => figures.costPerThousandTokens.toFixed(4),
	],
	['first token p50 (ms)', ({firstToken}) => firstToken.p50.toFixed(1)],
	['first token p95 (ms)', ({firstToken}) => firstToken.p95.toFixed(1)],
	['first token p99 (ms)', ({firstToken}) => firstToken.p99.toFixed(1)],
	['between tokens p95 (ms)', ({interToken}) => interToken.p95.toFixed(1)],
	[
		'errors',
		({errors}) =>
			Object.entries(errors)
				.map(([kind, count]) => `${kind} ${count}`)
				.join(', '),
	],
];

const rowTitles = [
	'by',
	'name',
	'requests',
	'answered',
	'away',
	'tokens',
	'cost',
	'first p50',
	'p95',
	'p99',
	'token p95',
];

const formatRow = (row: ReportRow): readonly string[] => [
	row.dimension,
	row.name,
	String(row.requests),
	String(row.answered),
	`${row.requests === 0 ? 0 : ((100 * row.away) / row.requests).toFixed(1)} %`,
	String(row.tokens),
	row.cost.toFixed(3),
	...[
		row.firstToken.p50,
		row.firstToken.p95,
		row.firstToken.p99,
		row.interToken.p95,
	].map((value) => value.toFixed(1)),
];

const formatBurn = ({objective, windows, verdict}: BurnReport): string => {
	const parts = windows.map(
		({minutes, burn}) => `${minutes} min: ${burn.toFixed(2)}`,
	);
	return `burn of ${objective}: ${parts.join(', ')} (${verdict})`;
};

const formatColumns = (lines: ReadonlyArray<readonly string[]>): string => {
	const widths = lines[0]!.map((_, column) =>
		Math.max(...lines.map((line) => line[column]!.length)),
	);
	return lines
		.map((line) =>
			line
				.map((cell, column) => cell.padEnd(widths[column]!))
				.join('  ')
				.trimEnd(),
		)
		.join('\n');
};
