import {Result} from 'true-myth';

/**
Load that a backend server states in a response. It counts the requests of all nodes.
*/
export type StatedLoad = {
	readonly running: number;
	readonly waiting: number;
	/**
	Maximum number of requests that run concurrently.
	*/
	readonly slots: number;
	/**
	How many times as long as usual work takes at the server at this moment; undefined if it does not state that.
	*/
	readonly slowdown?: number;
};

// A larger number is rejected as invalid, because no server runs or queues that many requests.
const maximumCount = 1_000_000;

const countFields = 3;

// Work that takes a hundred times as long as usual, or a hundredth, is rejected as invalid.
const maximumSlowdownPercent = 10_000;
const minimumSlowdownPercent = 1;

// Declared here because the bundler does not share literals between calls.
const digitsOnly = /^\d+$/v;

/**
Parses `RUNNING,WAITING,SLOTS` or `RUNNING,WAITING,SLOTS,SLOWDOWN`, with the slowdown in percent of the usual duration. The error
describes what is invalid.
*/
export const parseStatedLoad = (text: string): Result<StatedLoad, string> => {
	const fields = text.split(',').map((field) => field.trim());
	const hasSlowdown = fields.length === countFields + 1;
	if (!hasSlowdown && fields.length !== countFields) {
		return Result.err('expected three or four numbers');
	}

	const isCount = (field: string) =>
		digitsOnly.test(field) && Number(field) <= maximumCount;
	if (fields.some((field) => !isCount(field))) {
		return Result.err('expected counts of requests and a percentage');
	}

	const [running = 0, waiting = 0, slots = 0, percent = 0] = fields.map(Number);
	if (running > slots) {
		return Result.err('more requests running than slots');
	}

	if (!hasSlowdown) {
		return Result.ok({running, waiting, slots});
	}

	return percent < minimumSlowdownPercent || percent > maximumSlowdownPercent
		? Result.err(
				`expected a slowdown of ${minimumSlowdownPercent} to ${maximumSlowdownPercent} percent`,
			)
		: Result.ok({running, waiting, slots, slowdown: percent / 100});
};
