import {build, type Plugin} from 'esbuild';

// Nest and others load these only where they are installed.
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
What a bundle is made from.
*/
export type BundleOptions = {
	readonly entry: string;
	readonly plugins: Plugin[];
	/**
	Whether functions and classes keep their names where a bundle renames them; Nest needs it.
	*/
	readonly keepNames: boolean;
};

/**
Bundles the whole program into one file, or another entry.
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
