// Builds FOLDER/quillford, a single executable that includes the Node.js runtime.
// Usage: node tools/build.ts [FOLDER]; FOLDER is dist by default.
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

// Keeps code that a platform node doesn't need out of the main script. The runtime parses the whole
// script at each start, and a node has to start fast after a power failure.
const minimalMainScript: Plugin = {
	name: 'minimal-main-script',
	setup(build) {
		// eslint-disable-next-line require-unicode-regexp -- esbuild evaluates the filter and supports no flags
		build.onResolve({filter: /^undici$/}, () => ({
			path: path.resolve('tools/undici-core.mjs'),
		}));
		// eslint-disable-next-line require-unicode-regexp -- esbuild evaluates the filter and supports no flags
		build.onResolve({filter: /command-line\/index\.ts$/}, () => ({
			path: './command-line.cjs',
			external: true,
		}));
	},
};

mkdirSync(folder, {recursive: true});
await bundle(script, {plugins: [minimalMainScript], keepNames: false});
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
