// Plays the day files under deploy/days/ on each given deployment and prints the score of each run.
// The program that plays them is not part of this repository; without it nothing is played.
import {spawn} from 'node:child_process';
import {globSync} from 'node:fs';
import process from 'node:process';
import {text} from 'node:stream/consumers';

// Each play takes one processor core.
const maximumParallelPlays = 3;

const {QUILLFORD_BENCH: bench, QUILLFORD_SITES: siteList = ''} = process.env;
const sites = siteList.split(',').filter((site) => site !== '');

const play = async (site: string, day: string): Promise<string> => {
	const args = ['run', site, day, '--why', `own day ${day}`];
	const child = spawn(bench!, args, {stdio: ['ignore', 'pipe', 'inherit']});
	return summaryOf(await text(child.stdout));
};

// Returns the result line of the day and each line that names a broken rule.
const summaryOf = (output: string): string => {
	const lines = output.split('\n');
	const heading = lines.findIndex((line) => line.startsWith('day '));
	const broken = lines.filter((line) => /\b(?:rule|fault)\b/iv.test(line));
	return [lines[heading + 1] ?? 'not played', ...broken].join('\n    ');
};

const playAll = async (): Promise<void> => {
	const plays = sites.flatMap((site) =>
		globSync('deploy/days/*.toml')
			.toSorted()
			.map((day) => ({site, day})),
	);
	const next = plays.values();
	const worker = async () => {
		for (const {site, day} of next) {
			process.stdout.write(`${await play(site, day)}\n`);
		}
	};

	await Promise.all(Array.from({length: maximumParallelPlays}, worker));
};

if (bench === undefined || sites.length === 0) {
	process.stdout.write(
		'skipped: set QUILLFORD_BENCH to the program that plays days and QUILLFORD_SITES to a comma-separated list of site files\n',
	);
} else {
	await playAll();
}
