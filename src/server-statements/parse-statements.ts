import {Result} from 'true-myth';
import {parseDecimal} from '../shared/index.ts';

/**
The longest rest that a server is believed to ask for, in milliseconds.
*/
export const maximumRetryAfterMs = 86_400_000;

/**
Parses `Retry-After` of a backend server, in seconds with fractions, into milliseconds.
*/
export const parseRetryAfter = (text: string): Result<number, string> => {
	const seconds = parseDecimal(text);
	return seconds === undefined
		? Result.err(`Retry-After "${text}" is not a number of seconds`)
		: Result.ok(Math.min(maximumRetryAfterMs, seconds * 1000));
};

/**
Parses the announcement that a server is shutting down: `1`, or `0` for none.
*/
export const parseLeaving = (text: string): Result<boolean, string> => {
	switch (text.trim()) {
		case '1': {
			return Result.ok(true);
		}

		case '0': {
			return Result.ok(false);
		}

		default: {
			return Result.err(`leaving "${text}" is neither 0 nor 1`);
		}
	}
};

/**
Parses the time for which a server stays cold, in milliseconds.
*/
export const parseCold = (text: string): Result<number, string> => {
	const milliseconds = parseDecimal(text);
	return milliseconds === undefined
		? Result.err(`cold time "${text}" is not a number of milliseconds`)
		: Result.ok(milliseconds);
};
