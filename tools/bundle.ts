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
Bundles the command line into one file.
*/
export const bundle = async (
	output: string,
	plugins: Plugin[] = [],
): Promise<void> => {
	await build({
		entryPoints: ['main.ts'],
		outfile: output,
		bundle: true,
		platform: 'node',
		target: 'node24',
		format: 'cjs',
		minifyWhitespace: true,
		minifySyntax: true,
		keepNames: true,
		external: optionalPackages,
		define: {'import.meta.url': '__importMetaUrl'},
		banner: {
			js: 'const __importMetaUrl = require("node:url").pathToFileURL(__filename).href;',
		},
		logLevel: 'warning',
		plugins,
	});
};
