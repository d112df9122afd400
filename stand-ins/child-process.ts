import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import type {Address} from '../src/shared/index.ts';

/**
Child process that runs one member of a deployment.
*/
export type Process = {
	readonly name: string;
	readonly child: ChildProcess;
	readonly address: Address;
	/**
	Resolves with the exit code, or with undefined if a signal ended the process.
	*/
	readonly exited: Promise<number | undefined>;
};

// Child processes to kill when this process exits.
const running = new Set<ChildProcess>();

/**
Kills all child processes that are still running.
*/
export const killAll = () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
};

/**
Command, environment and log folder of a child process.
*/
export type ProcessOptions = {
	readonly name: string;
	readonly address: Address;
	readonly command: readonly string[];
	readonly environment?: Readonly<Record<string, string>>;
	readonly logFolder: string;
};

/**
Starts a child process that writes its output to `NAME.log` in the log folder.
*/
export const startProcess = ({
	name,
	address,
	command,
	environment = {},
	logFolder,
}: ProcessOptions): Process => {
	const [file, ...args] = command;
	const child = spawn(file!, args, {
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
