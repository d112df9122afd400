/* eslint-disable jsdoc/require-param -- the names are those of the pages, plain JavaScript has no types to repeat, and a case ends with an exit code */
// The record of a run: what was sent, answered and run.
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

// A fault of the test itself must not look like a broken rule.
const couldNotRun = 2;
const exitOnFaults = () => {
	process.on('uncaughtException', (error) => {
		process.stderr.write(`${error.stack}\n`);
		process.exit(couldNotRun);
	});
	process.on('SIGTERM', () => {
		process.exit(couldNotRun);
	});
};

/**
Creates the record of a case; it is written to `record.txt` in its folder.
*/
export const createRecord = (folder) => {
	exitOnFaults();
	const lines = [];
	return {
		line(text) {
			lines.push(text);
			process.stdout.write(`${text}\n`);
		},
		end() {
			writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
		},
	};
};
