import process from 'node:process';
import {runCommandLine} from './command-line/index.ts';

const firstArgument = 2;

// In an async function because the bundle is a CommonJS module, which has no top-level await.
const main = async () => {
	process.exitCode = await runCommandLine(process.argv.slice(firstArgument));
};

void main();
