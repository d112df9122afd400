import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import type {RequestLine, StreamLine} from './cause.ts';

type Context = Readonly<Record<string, unknown>>;

const secondMs = 1000;

/**
Reads the log lines about callers' requests from the output of nodes. A line may start with a time in seconds
and the name of the node. Without such a time, the time in the JSON applies, relative to the first line.

Skips lines without JSON, and lines about requests that another node forwarded.
*/
export const readRequestLines = async (
	file: string,
): Promise<readonly RequestLine[]> => {
	const lines: RequestLine[] = [];
	let firstTime: number | undefined;
	const input = createInterface({input: createReadStream(file, 'utf8')});
	for await (const text of input) {
		const start = text.indexOf('{');
		const parsed = start === -1 ? undefined : parse(text.slice(start));
		if (!parsed) {
			continue;
		}

		firstTime ??= parsed.time;
		const seconds = /^\s*(?<seconds>-?[\d.]+)\s/v.exec(text)?.groups?.seconds;
		const prefixTime = Number(seconds ?? NaN);
		const at = Number.isNaN(prefixTime)
			? (parsed.time - firstTime) / secondMs
			: prefixTime;
		const line = toRequestLine(parsed.context, parsed.message, at);
		if (line) {
			lines.push(line);
		}
	}

	return lines;
};

const parse = (text: string) => {
	try {
		const {context, message, time} = JSON.parse(text) as {
			context?: Context;
			message?: string;
			time?: number;
		};
		return context && message !== undefined && time !== undefined
			? {context, message, time}
			: undefined;
	} catch {
		return undefined;
	}
};

const toRequestLine = (
	context: Context,
	message: string,
	at: number,
): RequestLine | undefined => {
	const text = (name: string) => {
		const value = context[name];
		return typeof value === 'string' ? value : '';
	};

	const count = (name: string) => {
		const value = context[name];
		return typeof value === 'number' ? value : 0;
	};

	const isAboutRequest = message.startsWith('request ');
	// A path without a route is a caller error, and no request of a route was lost.
	const isCallerError =
		message === 'request rejected' && count('status') !== 503;
	if (!isAboutRequest || isCallerError || context.origin !== undefined) {
		return undefined;
	}

	return {
		at,
		node: text('node'),
		route: text('route'),
		result: message === 'request rejected' ? 'rejected' : text('result'),
		outcome: text('outcome'),
		reason: text('reason'),
		steps: text('steps'),
		firstByteMs:
			context.firstByteMs === undefined ? undefined : count('firstByteMs'),
		waitedMs: count('waitedMs'),
		totalMs: count('totalMs'),
		targetMs: count('targetMs'),
		status: count('status'),
		stream: toStreamLine(context),
	};
};

const toStreamLine = (context: Context): StreamLine | undefined => {
	const {size, end} = context;
	if (typeof size !== 'number' || typeof end !== 'string') {
		return undefined;
	}

	const optional = (name: string) => {
		const value = context[name];
		return typeof value === 'number' ? value : undefined;
	};

	return {
		size,
		end,
		remainingAtStartMs: optional('remainingAtStartMs'),
		chunks: optional('chunks') ?? 0,
		chunkIntervalMs: optional('chunkIntervalMs'),
		loadAtStart: optional('loadAtStart'),
	};
};
