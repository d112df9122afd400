// Mutation check of the scenarios: bundles the gateway with one mechanism disabled, runs the scenario
// set that covers the mechanism against this bundle, and expects the set to fail.
// Usage: npm run prove, or npm run prove -- TAG... to check only some sets.
import {spawnSync} from 'node:child_process';
import {mkdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import type {Plugin} from 'esbuild';
import {bundle} from './bundle.ts';

/**
A mechanism and the source edit that disables it.
*/
type Mechanism = {
	readonly tag: string;
	readonly what: string;
	readonly file: string;
	readonly from: string;
	readonly to: string;
};

const mechanisms: readonly Mechanism[] = [
	{
		tag: 'residency',
		what: 'the residency guard of every send',
		file: 'src/routing/residency.ts',
		from: 'return isRegionAllowed(residency.value, region)',
		to: 'return true || isRegionAllowed(residency.value, region)',
	},
	{
		tag: 'no-loop',
		what: 'receivers reject attempts that they have already seen',
		file: 'src/requests/parse-forwarded-request.ts',
		from: 'if (!context.isFirstDelivery(envelope.attemptId)) {',
		to: 'if (false) {',
	},
	{
		tag: 'cut-region',
		what: 'nodes fetch newer configurations from their peers',
		file: 'src/configuration/configuration-store.ts',
		from: 'isAhead: (other) => compareStamps(other, stamp()) > 0',
		to: 'isAhead: (other) => false',
	},
	{
		tag: 'own-answer',
		what: 'the index of each event is checked',
		file: 'src/requests/event-stream.ts',
		from: 'if (index !== delivered) {',
		to: 'if (false) {',
	},
	{
		tag: 'not-run',
		what: 'only failures before the first sent byte prove that nothing ran',
		file: 'src/engines/engine-client.ts',
		from: 'const isBeforeSend = beforeSendCodes.has(code);',
		to: 'const isBeforeSend = true;',
	},
	{
		tag: 'at-most-once',
		what: 'only the node that issued a request id runs its request',
		file: 'src/requests/permits.ts',
		from: "return {kind: 'elsewhere', issuer: permit};",
		to: 'return redeemLocal(use, permit.at, now);',
	},
	{
		tag: 'leaving',
		what: 'servers that announce their shutdown are no candidates',
		file: 'src/fleet/fleet.ts',
		from: 'const isUsable = (row: Row, now: number): boolean =>',
		to: 'const isUsable = (row: Row, now: number): boolean => row.ejectedUntil <= now ||',
	},
	{
		tag: 'planned-stop',
		what: 'a stopping node waits for its requests in flight',
		file: 'src/node/create-node.ts',
		from: 'return inFlight.waitUntilIdle(settings.drainTimeoutMs);',
		to: 'return true;',
	},
	{
		tag: 'configuration',
		what: 'older configuration versions are refused',
		file: 'src/configuration/configuration-store.ts',
		from: 'if (compareStamps(stampOf(parsed.value), stamp()) <= 0) {',
		to: 'if (false) {',
	},
];

const disableMechanism = ({file, from, to}: Mechanism): Plugin => ({
	name: 'disable-mechanism',
	setup(build) {
		// eslint-disable-next-line require-unicode-regexp -- esbuild rejects filters with this flag
		build.onLoad({filter: /\.ts$/}, ({path: loaded}) => {
			if (path.relative(process.cwd(), loaded) !== file) {
				return undefined;
			}

			const text = readFileSync(loaded, 'utf8');
			if (!text.includes(from)) {
				throw new Error(
					`${file} does not contain the line to replace: ${from}`,
				);
			}

			return {contents: text.replace(from, () => to), loader: 'ts'};
		});
	},
});

const didFailWithout = async (mechanism: Mechanism): Promise<boolean> => {
	const output = `dist/without/${mechanism.tag}.cjs`;
	mkdirSync('dist/without', {recursive: true});
	await bundle(output, {plugins: [disableMechanism(mechanism)]});
	const run = spawnSync(
		process.execPath,
		[
			'node_modules/@cucumber/cucumber/bin/cucumber.js',
			'--import',
			'features/steps/*.ts',
			'--tags',
			`@${mechanism.tag}`,
			'--fail-fast',
			'--exit',
			'--parallel',
			'0',
		],
		{
			env: {
				...process.env,
				QUILLFORD_BUNDLE: output,
				CUCUMBER_WORKER_ID: '3',
			},
			encoding: 'utf8',
		},
	);
	const summary = run.stdout
		.split('\n')
		.find((line) => /^\d+ scenarios/v.test(line));
	process.stdout.write(
		`@${mechanism.tag} without "${mechanism.what}": ${summary ?? 'no summary'}\n`,
	);
	return run.status !== 0;
};

const selectedTags = process.argv.slice(2);
const undetected: string[] = [];
for (const mechanism of mechanisms) {
	if (
		(selectedTags.length === 0 || selectedTags.includes(mechanism.tag)) &&
		!(await didFailWithout(mechanism))
	) {
		undetected.push(mechanism.tag);
	}
}

process.stdout.write(
	undetected.length === 0
		? 'each scenario set fails without its mechanism\n'
		: `scenario sets that pass without their mechanism: ${undetected.join(', ')}\n`,
);
process.exitCode = undetected.length === 0 ? 0 : 1;
