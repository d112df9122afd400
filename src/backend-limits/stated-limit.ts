import {Result} from 'true-myth';
import {parseDecimal} from '../shared/index.ts';
import type {LimitStatement} from './limit-statement.ts';

// No server takes as many requests a second as this; a greater number is a fault of its own.
const largestPerSecond = 1_000_000;

/**
Reads the requests a second that a server takes from all nodes together, a decimal number; the error says what is wrong
with it.
*/
export const parseStatedLimit = (text: string): Result<number, string> => {
	const perSecond = parseDecimal(text);
	if (perSecond === undefined) {
		return Result.err('it is no decimal number');
	}

	return perSecond > largestPerSecond
		? Result.err('no server takes as many requests a second')
		: Result.ok(perSecond);
};

/**
Reads what an answer names as the limit of its server; the error says what is wrong with it.

@param text The limit; undefined where the answer names none.
@param sentAt When the request was sent.
@param now When its answer came.
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
