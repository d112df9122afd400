import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import type {Address} from '../src/shared/index.ts';

/**
One process of a deployment.
*/
export type Process = {
	readonly name: string;
	readonly child: ChildProcess;
	readonly address: Address;
	/**
	Resolves with the exit code.
	*/
	readonly exited: Promise<number | undefined>;
};

// However this process ends, what it started ends with it.
const running = new Set<ChildProcess>();

/**
Ends at once whatever was started and still runs.
*/
export const killAll = () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
};

/**
What is started, and where its output goes.
*/
export type ProcessOptions = {
	readonly name: string;
	readonly address: Address;
	readonly command: readonly string[];
	readonly environment?: Readonly<Record<string, string>>;
	readonly logFolder: string;
};

/**
Starts a process whose output goes to a file of its name.
*/
export const startProcess = ({
	name,
	address,
	command,
	environment = {},
	logFolder,
}: ProcessOptions): Process => {
	const [file, ...words] = command;
	const child = spawn(file!, words, {
		env: {...process.env, ...environment},
		stdio: ['ignore', 'pipe', 'pipe'],
	});
	const log = createWriteStream(path.join(logFolder, `${name}.log`), {
		flags: 'a',
	});
	child.stdout.pipe(log, {end: false});
	child.stderr.pipe(log, {end: false});
	running.add(child);
	const exited = new Promise<number | undefined>((resolve) => {
		child.once('exit', (code) => {
			running.delete(child);
			resolve(code ?? undefined);
		});
	});
	return {name, child, address, exited};
};
