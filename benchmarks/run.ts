// Runs the benchmarks: `npm run benchmark`, or `npm run benchmark -- NAME...` for some of them.
// Rows are printed as a table and written as JSON, one a line, to dist/benchmark.jsonl.
import {appendFileSync, mkdirSync, rmSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {measureBackendLimits} from './backend-limits.ts';
import {measureControl} from './control.ts';
import {measureDecisions} from './decisions.ts';
import {measureLimits} from './limits.ts';
import {measureMembership} from './membership.ts';
import {measureMemory} from './memory.ts';
import {measureOverhead} from './overhead.ts';
import {measureProcessor} from './processor.ts';
import {measureQuarantine} from './quarantine.ts';
import {measureRefusingServers} from './refusing-servers.ts';
import {measureRegistryOrders} from './registry-orders.ts';
import {measureRequestMemory} from './request-memory.ts';
import {measureRests} from './rests.ts';
import {measureRouting} from './routing.ts';
import {measureSilentServers} from './silent-servers.ts';
import {measureStreamOrigins} from './stream-origins.ts';
import type {Row} from './table.ts';

const output = 'dist/benchmark.jsonl';

const {positionals, values} = parseArgs({
	allowPositionals: true,
	options: {only: {type: 'string'}},
});

const benchmarks: Readonly<
	Record<string, () => readonly Row[] | Promise<readonly Row[]>>
> = {
	decisions: measureDecisions,
	memory: measureMemory,
	membership: measureMembership,
	control: measureControl,
	routing: () => measureRouting(values.only),
	overhead: measureOverhead,
	processor: measureProcessor,
	limits: measureLimits,
	'request-memory': measureRequestMemory,
	quarantine: measureQuarantine,
	'backend-limits': measureBackendLimits,
	rests: measureRests,
	'refusing-servers': measureRefusingServers,
	'registry-orders': measureRegistryOrders,
	'silent-servers': measureSilentServers,
	'stream-origins': measureStreamOrigins,
};

const chosen = positionals.length > 0 ? positionals : Object.keys(benchmarks);
mkdirSync('dist', {recursive: true});
rmSync(output, {force: true});
for (const name of chosen) {
	const benchmark = benchmarks[name];
	if (!benchmark) {
		throw new Error(
			`There is no benchmark "${name}"; use one of ${Object.keys(benchmarks).join(', ')}`,
		);
	}

	process.stdout.write(`${name}\n`);
	for (const row of await benchmark()) {
		appendFileSync(output, `${JSON.stringify(row)}\n`);
	}
}
