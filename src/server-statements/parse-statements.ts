import {Result} from 'true-myth';
import {parseDecimal} from '../shared/index.ts';

/**
Maximum backoff that is accepted from a server, in milliseconds. Longer backoffs are shortened to it.
*/
export const maximumRetryAfterMs = 86_400_000;

/**
Parses the `Retry-After` header of a backend server, in seconds with an optional fraction, into milliseconds.
*/
export const parseRetryAfter = (text: string): Result<number, string> => {
	const seconds = parseDecimal(text);
	return seconds === undefined
		? Result.err(`Retry-After "${text}" is not a number of seconds`)
		: Result.ok(Math.min(maximumRetryAfterMs, seconds * 1000));
};

/**
Parses the announcement of a shutdown: `1`, or `0` for none.
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
Parses the refusals per second that a server survives.
*/
export const parseRefusalLimit = (text: string): Result<number, string> => {
	const perSecond = parseDecimal(text);
	return perSecond === undefined
		? Result.err(
				`refusal limit "${text}" is not a number of refusals per second`,
			)
		: Result.ok(perSecond);
};

/**
Parses the remaining time for which a server is cold, in milliseconds.
*/
export const parseCold = (text: string): Result<number, string> => {
	const milliseconds = parseDecimal(text);
	return milliseconds === undefined
		? Result.err(`cold time "${text}" is not a number of milliseconds`)
		: Result.ok(milliseconds);
};
