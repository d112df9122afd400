/**
Entry point of the executable: runs the command line of the product, or a node of the platform adapter.
*/
import {createRequire} from 'node:module';
import process from 'node:process';
import {getAsset, isSea} from 'node:sea';
import {compileFunction} from 'node:vm';
import type * as commandLine from './src/command-line/index.ts';

const firstArgument = 2;
const platformCommand = 'platform-node';

// Each side is loaded on demand: on a small machine, a platform node starts in a fraction of the time
// that loading the listeners of the product takes.
const main = async () => {
	const args = process.argv.slice(firstArgument);
	if (args[0] === platformCommand) {
		// A reload needs nothing of a node that has not read its settings yet; without a handler, the signal would end the process.
		process.on('SIGHUP', () => undefined);
		const {runNode} = await import('./platform/run-node.ts');
		process.exit(await runNode(args.slice(1)));
	}

	const {runCommandLine} = await loadCommandLine();
	process.exitCode = await runCommandLine(args);
};

// The executable holds the command line as a separate script. A platform node does not load it and
// restarts faster after a power loss.
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

// Nothing else ends a process whose start has failed but which still holds sockets or timers.
const runOrExit = async () => {
	try {
		await main();
	} catch (error) {
		process.stderr.write(`${(error as Error).stack}\n`);
		process.exit(1);
	}
};

void runOrExit();
