// eslint-disable-next-line import-x/no-unassigned-import, import-x/order -- it must run before roarr is loaded
import './enable-roarr.ts';
import {createWriteStream} from 'node:fs';
import process from 'node:process';
import {logLevels, ROARR, Roarr} from 'roarr';

/**
Log levels, from the most to the least verbose.
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
Structured fields of a log line.
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
Destination of log lines.
*/
export type LogOutput = 'standard-error' | 'standard-output';

/**
Maximum number of bytes that wait to be written. Further lines are dropped and counted, because a slow reader must
not block the process.
*/
export const maximumLogBacklogBytes = 262_144;

let dropped = 0;

/**
Returns the number of log lines dropped since the start because the reader was too slow.
*/
export const droppedLogLines = (): number => dropped;

/**
Writes all log lines of at least a level to an output, as one JSON object per line.
*/
export const startLogging = (
	level: LogLevel,
	output: LogOutput = 'standard-error',
): void => {
	const lowest = threshold(level);
	const write =
		output === 'standard-error' ? writeToStandardError : createBoundedWriter();
	ROARR.write = (line) => {
		if (levelOf(line) >= lowest) {
			write(`${line}\n`);
		}
	};
};

const writeToStandardError = (line: string) => {
	process.stderr.write(line);
};

const standardOutput = 1;

// Writing to a pipe through `process.stdout` blocks while the pipe is full. A file stream on the same descriptor
// does not block.
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

// Defined outside the function because the bundler does not share regular expression literals between calls.
const levelField = /"logLevel":(?<level>\d+)/v;

// Extracting the level is much cheaper than parsing the whole line.
const levelOf = (line: string): number => {
	const match = levelField.exec(line);
	return match?.groups ? Number(match.groups.level) : silent;
};

/**
Creates a logger for one part of the system.
*/
export const createLogger = (
	part: string,
	context: LogContext = {},
): Logger => {
	const roarr = Roarr.child({part, ...context});
	return {
		debug(fields, message) {
			roarr.debug(fields, message);
		},
		info(fields, message) {
			roarr.info(fields, message);
		},
		warn(fields, message) {
			roarr.warn(fields, message);
		},
		error(fields, message) {
			roarr.error(fields, message);
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
