import {build, type Plugin} from 'esbuild';

// Nest and other packages load these only if they are installed.
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

/**
Entry file and esbuild settings of a bundle.
*/
export type BundleOptions = {
	readonly entry: string;
	readonly plugins: Plugin[];
	/**
	Whether functions and classes that esbuild renames keep their original `name`, which Nest requires.
	*/
	readonly keepNames: boolean;
};

/**
Bundles an entry file, by default the whole program, into one file.
*/
export const bundle = async (
	output: string,
	{
		entry = 'main.ts',
		plugins = [],
		keepNames = true,
	}: Partial<BundleOptions> = {},
): Promise<void> => {
	await build({
		entryPoints: [entry],
		outfile: output,
		bundle: true,
		platform: 'node',
		target: 'node24',
		format: 'cjs',
		minifyWhitespace: true,
		minifySyntax: true,
		keepNames,
		external: optionalPackages,
		define: {'import.meta.url': '__importMetaUrl'},
		banner: {
			js: 'const __importMetaUrl = require("node:url").pathToFileURL(__filename).href;',
		},
		logLevel: 'warning',
		plugins,
	});
};
