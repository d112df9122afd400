import {Result} from 'true-myth';

// No server takes as many requests a second as this; a greater number is a fault of its own.
const largestPerSecond = 1_000_000;

// The build turns an expression with this flag into one that is made anew at each use, where it stands in a function.
const decimalNumber = /^\d+(?:\.\d+)?$/v;

/**
Reads the requests a second that a server takes from all nodes together, a decimal number; the error says what is wrong
with it.
*/
export const parseStatedLimit = (text: string): Result<number, string> => {
	const trimmed = text.trim();
	if (!decimalNumber.test(trimmed)) {
		return Result.err('it is no decimal number');
	}

	const perSecond = Number(trimmed);
	return perSecond > largestPerSecond
		? Result.err('no server takes as many requests a second')
		: Result.ok(perSecond);
};
