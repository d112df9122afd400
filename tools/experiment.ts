// Ablation study: plays days with one mechanism disabled at a time, and the same days with all mechanisms
// enabled, and reports how much each mechanism contributes to the score.
// Usage: npm run experiment -- --without NAME[,NAME...]|all --sites FILE,... --days NAME,... --seeds own,7,...
//          [--jobs 4] [--folder ../quillford-experiments] [--picture docs/ablation.svg]
// QUILLFORD_BENCH is the path of the program that plays days; it is not part of this repository. Each variant
// is built and played in its own clone of the last commit, so that nothing is built or
// played twice in one folder.
import {spawnSync, spawn} from 'node:child_process';
import {
	appendFileSync,
	cpSync,
	existsSync,
	mkdirSync,
	readFileSync,
	writeFileSync,
} from 'node:fs';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import * as z from 'zod';
import {mechanisms, parseDisabledMechanisms} from '../src/mechanisms/index.ts';
import {compareVariants, type Play} from './experiment/compare.ts';
import {drawBars} from './plots/draw-bars.ts';

/**
Name of the variant with all mechanisms enabled. Each other variant has the name of its disabled mechanism.
*/
const complete = 'complete';

const reportSchema = z.object({
	G: z.number(),
	refused: z.number(),
	failed: z.number(),
	breaks: z.record(z.string(), z.unknown()),
	prices: z.array(z.tuple([z.string(), z.number(), z.number()])),
	all: z.object({n: z.number(), late: z.number()}),
});

// Names of counts in the reports.
const processorSeconds = 'processor seconds';
const recomputedTokens = '1,000 tokens of shared parts read again';

const {values: options} = parseArgs({
	options: {
		without: {type: 'string', default: ''},
		sites: {type: 'string', default: ''},
		days: {type: 'string', default: ''},
		seeds: {type: 'string', default: 'own'},
		jobs: {type: 'string', default: '4'},
		folder: {type: 'string', default: '../quillford-experiments'},
		picture: {type: 'string'},
	},
});

const listOf = (text: string): readonly string[] =>
	text.split(',').filter((part) => part !== '');

const run = (command: string, args: readonly string[], cwd: string) => {
	const {status, stderr} = spawnSync(command, args, {cwd, encoding: 'utf8'});
	if (status !== 0) {
		throw new Error(`${command} ${args.join(' ')} failed: ${stderr}`);
	}
};

const prepare = (bench: string, folder: string, variant: string): string => {
	const clone = path.resolve(folder, variant);
	if (!existsSync(clone)) {
		run('git', ['clone', '--quiet', process.cwd(), clone], process.cwd());
		cpSync('node_modules', path.join(clone, 'node_modules'), {
			recursive: true,
			verbatimSymlinks: true,
		});
	}

	if (variant !== complete) {
		const file = path.join(clone, 'deploy/system.toml');
		const settings = readFileSync(file, 'utf8').replace(
			/ --without \S+"/v,
			'"',
		);
		writeFileSync(
			file,
			settings.replace(
				/ platform-node"/v,
				() => ` platform-node --without ${variant}"`,
			),
		);
	}

	run(bench, ['build'], clone);
	return clone;
};

type Task = {
	readonly site: string;
	readonly day: string;
	readonly seed: string;
	readonly variant: string;
	readonly clone: string;
};

const play = async (
	bench: string,
	folder: string,
	{site, day, seed, variant, clone}: Task,
): Promise<Play | undefined> => {
	const name = `${path.basename(site, '.toml')}-${day}-${seed}-${variant}`;
	const report = path.resolve(folder, `${name}.json`);
	const args = [
		'run',
		site,
		day,
		'--report',
		report,
		'--why',
		`experiment: ${variant} on ${day}, seed ${seed}`,
		...(seed === 'own' ? [] : ['--seed', seed]),
	];
	const child = spawn(bench, args, {cwd: clone, stdio: 'ignore'});
	await once(child, 'exit');
	if (!existsSync(report)) {
		process.stdout.write(`not played: ${name}\n`);
		return undefined;
	}

	const read = reportSchema.parse(JSON.parse(readFileSync(report, 'utf8')));
	const counted = new Map(read.prices.map(([what, count]) => [what, count]));
	const result: Play = {
		site: path.basename(site, '.toml'),
		day,
		seed,
		variant,
		worth: read.G,
		late: read.all.late / Math.max(1, read.all.n),
		refused: read.refused,
		failed: read.failed,
		readAgain: counted.get(recomputedTokens) ?? 0,
		processor: counted.get(processorSeconds) ?? 0,
		broken: Object.keys(read.breaks),
	};
	appendFileSync(
		path.resolve(folder, 'plays.jsonl'),
		`${JSON.stringify(result)}\n`,
	);
	process.stdout.write(
		`${name} ${read.G.toFixed(3)} ${result.broken.join(' ')}\n`,
	);
	return result;
};

const playAll = async (bench: string): Promise<readonly Play[]> => {
	const {folder} = options;
	mkdirSync(folder, {recursive: true});
	const disabled =
		options.without === 'all' ? [...mechanisms] : listOf(options.without);
	const clones = [complete, ...disabled].map((variant) => ({
		variant,
		clone: prepare(bench, folder, variant),
	}));
	// Plays all variants of a day in succession, so that they run under similar load of the machine.
	const tasks = listOf(options.sites).flatMap((site) =>
		listOf(options.days).flatMap((day) =>
			listOf(options.seeds).flatMap((seed) =>
				clones.map((each) => ({site, day, seed, ...each})),
			),
		),
	);
	const next = tasks.values();
	const plays: Play[] = [];
	const worker = async () => {
		for (const task of next) {
			const result = await play(bench, folder, task);
			if (result) {
				plays.push(result);
			}
		}
	};

	await Promise.all(Array.from({length: Number(options.jobs)}, worker));
	return plays;
};

const report = async (plays: readonly Play[]) => {
	const rows = compareVariants(plays, complete);
	process.stdout.write(
		[
			'| site | without | pairs | worth | spread | late | refused | failed | read again, 1,000 tokens | processor s | broken |',
			'| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |',
			...rows.map((row) =>
				[
					'',
					row.site,
					row.variant,
					String(row.pairs),
					signed(row.worth, 3),
					row.spread.toFixed(3),
					signed(row.late, 3),
					signed(row.refused, 3),
					signed(row.failed, 3),
					signed(row.readAgain, 0),
					signed(row.processor, 1),
					row.broken.join(' '),
					'',
				]
					.join(' | ')
					.trim(),
			),
			'',
		].join('\n'),
	);
	if (options.picture === undefined) {
		return;
	}

	const svg = await drawBars({
		title:
			'Change of worth without each mechanism, with its standard deviation',
		values: rows.map(({site, variant, worth, spread}) => ({
			variant,
			site,
			worth,
			low: worth - spread,
			high: worth + spread,
		})),
		x: 'variant',
		y: 'worth',
		color: 'site',
		range: {low: 'low', high: 'high'},
	});
	writeFileSync(options.picture, svg);
};

const signed = (value: number, digits: number): string =>
	(value >= 0 ? '+' : '') + value.toFixed(digits);

const {QUILLFORD_BENCH: bench} = process.env;
const names =
	options.without === 'all'
		? undefined
		: parseDisabledMechanisms(options.without);
if (bench === undefined || options.sites === '' || options.days === '') {
	process.stdout.write(
		'skipped: set QUILLFORD_BENCH to the program that plays days, and give --sites and --days\n',
	);
} else if (names?.isErr) {
	process.stderr.write(`--without ${names.error}\n`);
	process.exitCode = 1;
} else {
	await report(await playAll(bench));
}
