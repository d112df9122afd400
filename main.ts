/**
The entry of the one binary: the product's commands, and the node of the users' platform.
*/
import process from 'node:process';

const firstArgument = 2;
const platformCommand = 'platform-node';

// Each side is loaded only when it runs: a node on a small machine starts in a fraction of the
// time that the listeners of the product take to load.
const main = async () => {
	const words = process.argv.slice(firstArgument);
	if (words[0] === platformCommand) {
		const {runNode} = await import('./platform/run-node.ts');
		process.exit(await runNode());
	}

	const {runCommandLine} = await import('./src/command-line/index.ts');
	process.exitCode = await runCommandLine(words);
};

void main();
