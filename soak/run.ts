// Runs soak tests. Each seed gives one plan of faults. Exits with 1 if a guarantee was violated, and prints the seed
// and the log folder of the nodes.
// Usage: npm run soak -- --seed 7 --runs 5 --nodes 6 --servers 5 --seconds 20 --rate 120
import process from 'node:process';
import {parseArgs} from 'node:util';
import {build} from 'hdr-histogram-js';
import {playSoak, type SoakResult} from './play-soak.ts';

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		runs: {type: 'string', default: '1'},
		nodes: {type: 'string', default: '6'},
		servers: {type: 'string', default: '5'},
		seconds: {type: 'string', default: '20'},
		rate: {type: 'string', default: '120'},
		quiet: {type: 'boolean', default: false},
		binary: {type: 'string', default: 'dist/quillford'},
	},
});

const print = (text: string) => {
	process.stdout.write(`${text}\n`);
};

const summaryOf = (seed: number, {history, violations}: SoakResult): string => {
	const latencies = build();
	const served = history.records.filter(
		({status, isWhole}) => status === 200 && isWhole,
	);
	const refused = history.records.filter(({status}) => status === 503);
	for (const {latencyMs} of served) {
		latencies.recordValue(Math.max(1, Math.round(latencyMs)));
	}

	return `seed ${seed}: ${history.records.length} requests, ${served.length} served, ${refused.length} refused, p50 ${latencies.getValueAtPercentile(50)} ms, p99 ${latencies.getValueAtPercentile(99)} ms, ${violations.length} violations`;
};

const firstSeed = Number(values.seed);
for (let seed = firstSeed; seed < firstSeed + Number(values.runs); seed += 1) {
	const result = await playSoak({
		seed,
		nodes: Number(values.nodes),
		servers: Number(values.servers),
		lengthMs: Number(values.seconds) * 1000,
		perSecond: Number(values.rate),
		binary: values.binary,
		onProgress: values.quiet ? undefined : print,
	});
	print(summaryOf(seed, result));
	for (const {promise, detail} of result.violations.slice(0, 20)) {
		print(`  ${promise}: ${detail}`);
	}

	if (result.violations.length === 0) {
		continue;
	}

	print(`  logs: ${result.logFolder}`);
	process.exitCode = 1;
}
