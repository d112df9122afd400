/**
The entry of the one binary: the product's commands, and the node of the users' platform.
*/
import {createRequire} from 'node:module';
import process from 'node:process';
import {getAsset, isSea} from 'node:sea';
import {compileFunction} from 'node:vm';
import type * as commandLine from './src/command-line/index.ts';

const firstArgument = 2;
const platformCommand = 'platform-node';

// Each side is loaded only when it runs: a node on a small machine starts in a fraction of the
// time that the listeners of the product take to load.
const main = async () => {
	const words = process.argv.slice(firstArgument);
	if (words[0] === platformCommand) {
		const {runNode} = await import('./platform/run-node.ts');
		process.exit(await runNode(words.slice(1)));
	}

	const {runCommandLine} = await loadCommandLine();
	process.exitCode = await runCommandLine(words);
};

// In the executable the command line is a script of its own: the node of the platform, whose start
// counts after each loss of power, need not carry it.
const loadCommandLine = async (): Promise<typeof commandLine> =>
	isSea()
		? compileAsset('command-line')
		: import('./src/command-line/index.ts');

const compileAsset = (name: string): typeof commandLine => {
	const filename = process.execPath;
	const module = {exports: {}};
	const run = compileFunction(
		getAsset(name, 'utf8'),
		['module', 'exports', 'require', '__filename'],
		{filename: name},
	) as (...context: unknown[]) => void;
	run(module, module.exports, createRequire(filename), filename);
	return module.exports as typeof commandLine;
};

void main();
