// Shows that each scenario set fails without the mechanism that it is meant for: takes the mechanism
// out of a bundle, runs the set against it, and expects it to fail.
// Usage: npm run prove, or npm run prove -- NAME... for some of them.
import {spawnSync} from 'node:child_process';
import {mkdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import type {Plugin} from 'esbuild';
import {bundle} from './bundle.ts';

/**
A mechanism and the edit that takes it out.
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
		what: 'the guard that every send passes',
		file: 'src/routing/residency.ts',
		from: 'return isRegionAllowed(residency.value, region)',
		to: 'return true || isRegionAllowed(residency.value, region)',
	},
	{
		tag: 'no-loop',
		what: 'a receiver remembers the attempts it has seen',
		file: 'src/requests/parse-forwarded-request.ts',
		from: 'if (!context.isFirstDelivery(envelope.attemptId)) {',
		to: 'if (false) {',
	},
	{
		tag: 'cut-region',
		what: 'nodes learn the configuration from their peers',
		file: 'src/configuration/configuration-store.ts',
		from: 'isAhead: (other) => compareStamps(other, stamp()) > 0',
		to: 'isAhead: (other) => false',
	},
	{
		tag: 'own-answer',
		what: 'each event is checked for its place',
		file: 'src/requests/event-stream.ts',
		from: 'if (index !== delivered) {',
		to: 'if (false) {',
	},
	{
		tag: 'not-run',
		what: 'only failures before the first byte prove that nothing ran',
		file: 'src/engines/engine-client.ts',
		from: 'const isBeforeSend = beforeSendCodes.has(code);',
		to: 'const isBeforeSend = true;',
	},
	{
		tag: 'at-most-once',
		what: 'only the node that issued an id may run its request',
		file: 'src/requests/permits.ts',
		from: "return {kind: 'elsewhere', issuer: permit};",
		to: 'return redeemLocal(use, permit.at, now);',
	},
	{
		tag: 'leaving',
		what: 'a leaving word takes a server out of the candidates',
		file: 'src/fleet/fleet.ts',
		from: 'const isUsable = (row: Row, now: number): boolean =>',
		to: 'const isUsable = (row: Row, now: number): boolean => row.ejectedUntil <= now ||',
	},
	{
		tag: 'planned-stop',
		what: 'a node that is leaving waits for its requests',
		file: 'src/node/create-node.ts',
		from: 'return inFlight.waitUntilIdle(settings.drainTimeoutMs);',
		to: 'return true;',
	},
	{
		tag: 'configuration',
		what: 'the version only rises',
		file: 'src/configuration/configuration-store.ts',
		from: 'if (compareStamps(stampOf(parsed.value), stamp()) <= 0) {',
		to: 'if (false) {',
	},
];

const takeOut = ({file, from, to}: Mechanism): Plugin => ({
	name: 'take-out',
	setup(build) {
		// eslint-disable-next-line require-unicode-regexp -- the bundler takes no such flag
		build.onLoad({filter: /\.ts$/}, ({path: loaded}) => {
			if (path.relative(process.cwd(), loaded) !== file) {
				return undefined;
			}

			const text = readFileSync(loaded, 'utf8');
			if (!text.includes(from)) {
				throw new Error(`${file} no longer holds: ${from}`);
			}

			return {contents: text.replace(from, () => to), loader: 'ts'};
		});
	},
});

const isRed = async (mechanism: Mechanism): Promise<boolean> => {
	const output = `dist/without/${mechanism.tag}.cjs`;
	mkdirSync('dist/without', {recursive: true});
	await bundle(output, {plugins: [takeOut(mechanism)]});
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

const chosen = process.argv.slice(2);
const stillGreen: string[] = [];
for (const mechanism of mechanisms) {
	if (
		(chosen.length === 0 || chosen.includes(mechanism.tag)) &&
		!(await isRed(mechanism))
	) {
		stillGreen.push(mechanism.tag);
	}
}

process.stdout.write(
	stillGreen.length === 0
		? 'each scenario set fails without its mechanism\n'
		: `still green without their mechanism: ${stillGreen.join(', ')}\n`,
);
process.exitCode = stillGreen.length === 0 ? 0 : 1;
