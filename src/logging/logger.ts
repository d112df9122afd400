// eslint-disable-next-line import-x/no-unassigned-import, import-x/order -- it must run before roarr is loaded
import './enable-roarr.ts';
import {createWriteStream} from 'node:fs';
import process from 'node:process';
import {logLevels, ROARR, Roarr} from 'roarr';

/**
How much is logged.
*/
export const logLevelNames = [
	'debug',
	'info',
	'warn',
	'error',
	'silent',
] as const;

/**
One of the log levels.
*/
export type LogLevel = (typeof logLevelNames)[number];

/**
Structured facts of one log line.
*/
export type LogContext = Readonly<
	Record<string, string | number | boolean | undefined>
>;

/**
Writes structured log lines.
*/
export type Logger = {
	debug(context: LogContext, message: string): void;
	info(context: LogContext, message: string): void;
	warn(context: LogContext, message: string): void;
	error(context: LogContext, message: string): void;
};

const silent = Number.MAX_SAFE_INTEGER;

const threshold = (level: LogLevel): number =>
	level === 'silent' ? silent : logLevels[level];

/**
Where log lines go.
*/
export type LogOutput = 'standard-error' | 'standard-output';

/**
Bytes that wait to be written at the most; lines beyond are dropped and counted, for a reader that
does not keep up must not hold the process up.
*/
export const maximumLogBacklogBytes = 262_144;

let dropped = 0;

/**
Log lines dropped since the start because their reader did not keep up.
*/
export const droppedLogLines = (): number => dropped;

/**
Directs all log lines to an output, one JSON object a line, from a level upwards.
*/
export const startLogging = (
	level: LogLevel,
	output: LogOutput = 'standard-error',
): void => {
	const lowest = threshold(level);
	const write =
		output === 'standard-error' ? writeAtOnce : createBoundedWriter();
	ROARR.write = (line) => {
		if (levelOf(line) >= lowest) {
			write(`${line}\n`);
		}
	};
};

const writeAtOnce = (line: string) => {
	process.stderr.write(line);
};

const standardOutput = 1;

// Writing to a pipe by way of `process.stdout` blocks while the pipe is full; a file stream on the
// same descriptor does not.
const createBoundedWriter = (): ((line: string) => void) => {
	const stream = createWriteStream('', {
		fd: standardOutput,
		autoClose: false,
		highWaterMark: maximumLogBacklogBytes,
	});
	stream.on('error', () => undefined);
	return (line) => {
		if (stream.writableLength > maximumLogBacklogBytes) {
			dropped += 1;
		} else {
			stream.write(line);
		}
	};
};

// Hoisted: the bundler does not share literals between calls.
const levelField = /"logLevel":(?<level>\d+)/v;

// Reading the one number is much cheaper than parsing the whole line.
const levelOf = (line: string): number => {
	const match = levelField.exec(line);
	return match?.groups ? Number(match.groups.level) : silent;
};

/**
Builds a logger for one part of the system.
*/
export const createLogger = (
	part: string,
	context: LogContext = {},
): Logger => {
	const roarr = Roarr.child({part, ...context});
	return {
		debug(facts, message) {
			roarr.debug(facts, message);
		},
		info(facts, message) {
			roarr.info(facts, message);
		},
		warn(facts, message) {
			roarr.warn(facts, message);
		},
		error(facts, message) {
			roarr.error(facts, message);
		},
	};
};

/**
A logger that writes nothing.
*/
export const silentLogger: Logger = {
	debug: () => undefined,
	info: () => undefined,
	warn: () => undefined,
	error: () => undefined,
};
