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
import process from 'node:process';
import {bundle} from './bundle.ts';

const folder = process.argv[2] ?? 'dist';
const output = `${folder}/quillford`;
const script = `${folder}/quillford.cjs`;
const blob = `${folder}/quillford.blob`;
const seaConfiguration = `${folder}/sea.json`;
const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync(folder, {recursive: true});
await bundle(script);
writeFileSync(
	seaConfiguration,
	JSON.stringify({
		main: script,
		output: blob,
		disableExperimentalSEAWarning: true,
		useCodeCache: true,
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
