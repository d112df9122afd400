// Builds FOLDER/quillford, dist/quillford where no folder is named: one executable with the runtime
// in it.
import {execFileSync} from 'node:child_process';
import {
	chmodSync,
	copyFileSync,
	mkdirSync,
	realpathSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import type {Plugin} from 'esbuild';
import {bundle} from './bundle.ts';

const folder = process.argv[2] ?? 'dist';
const output = `${folder}/quillford`;
const script = `${folder}/quillford.cjs`;
const commandLine = `${folder}/command-line.cjs`;
const blob = `${folder}/quillford.blob`;
const seaConfiguration = `${folder}/sea.json`;
const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

// The script that starts first holds what the node of the platform needs and no more: its start counts
// after each loss of power, and the runtime reads the whole script each time.
const lean: Plugin = {
	name: 'lean',
	setup(build) {
		// eslint-disable-next-line require-unicode-regexp -- esbuild reads the filter and knows no flags
		build.onResolve({filter: /^undici$/}, () => ({
			path: path.resolve('tools/undici-core.mjs'),
		}));
		// eslint-disable-next-line require-unicode-regexp -- esbuild reads the filter and knows no flags
		build.onResolve({filter: /command-line\/index\.ts$/}, () => ({
			path: './command-line.cjs',
			external: true,
		}));
	},
};

mkdirSync(folder, {recursive: true});
await bundle(script, {plugins: [lean], keepNames: false});
await bundle(commandLine, {entry: 'src/command-line/index.ts'});
writeFileSync(
	seaConfiguration,
	JSON.stringify({
		main: script,
		output: blob,
		disableExperimentalSEAWarning: true,
		useCodeCache: true,
		assets: {'command-line': commandLine},
	}),
);
execFileSync(
	process.execPath,
	['--experimental-sea-config', seaConfiguration],
	{stdio: 'ignore'},
);
rmSync(output, {force: true});
copyFileSync(realpathSync(process.execPath), output);
chmodSync(output, 0o755);
execFileSync(
	process.execPath,
	[
		'node_modules/postject/dist/cli.js',
		output,
		'NODE_SEA_BLOB',
		blob,
		'--sentinel-fuse',
		fuse,
	],
	{stdio: 'ignore'},
);
process.stdout.write(`built ${output}\n`);
