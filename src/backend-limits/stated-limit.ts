import {Result} from 'true-myth';
import {parseDecimal} from '../shared/index.ts';
import type {LimitStatement} from './limit-statement.ts';

// A larger number is rejected as invalid, because no server accepts that many requests per second.
const maximumPerSecond = 1_000_000;

/**
Parses the requests per second that a server accepts from all nodes together, a decimal number; the error describes what is
invalid.
*/
export const parseStatedLimit = (text: string): Result<number, string> => {
	const perSecond = parseDecimal(text);
	if (perSecond === undefined) {
		return Result.err('expected a decimal number');
	}

	return perSecond > maximumPerSecond
		? Result.err('expected at most 1000000 requests per second')
		: Result.ok(perSecond);
};

/**
Reads the limit that a server stated in a response; the error describes what is invalid.

@param text The limit; undefined if the response states none.
@param sentAt Time at which the request was sent.
@param now Time at which the response arrived.
*/
export const readLimitStatement = (
	text: string | undefined,
	sentAt: number,
	now: number,
): Result<LimitStatement, string> => {
	const times = {earliest: sentAt, latest: now};
	return text === undefined
		? Result.ok({perSecond: undefined, ...times})
		: parseStatedLimit(text).map((perSecond) => ({perSecond, ...times}));
};
