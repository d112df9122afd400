// Builds dist/quillford: one executable with the runtime in it.
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
import {build} from 'esbuild';

const output = 'dist/quillford';
const bundle = 'dist/quillford.cjs';
const blob = 'dist/quillford.blob';
const seaConfiguration = 'dist/sea.json';
const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

// Nest loads these only where they are installed.
const optionalPackages = [
	'@nestjs/microservices',
	'@nestjs/websockets',
	'@nestjs/platform-express',
	'@fastify/static',
	'@fastify/view',
	'@fastify/multipart',
	'class-validator',
	'class-transformer',
	'unix-dgram',
	'msgpackr-extract',
];

mkdirSync('dist', {recursive: true});
await build({
	entryPoints: ['src/main.ts'],
	outfile: bundle,
	bundle: true,
	platform: 'node',
	target: 'node24',
	format: 'cjs',
	external: optionalPackages,
	define: {'import.meta.url': '__importMetaUrl'},
	banner: {
		js: 'const __importMetaUrl = require("node:url").pathToFileURL(__filename).href;',
	},
	logLevel: 'warning',
});
writeFileSync(
	seaConfiguration,
	JSON.stringify({
		main: bundle,
		output: blob,
		disableExperimentalSEAWarning: true,
		useCodeCache: false,
	}),
);
execFileSync(
	process.execPath,
	['--experimental-sea-config', seaConfiguration],
	{stdio: ['ignore', 'ignore', 'inherit']},
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
	{stdio: ['ignore', 'ignore', 'inherit']},
);
process.stdout.write(`built ${output}\n`);
