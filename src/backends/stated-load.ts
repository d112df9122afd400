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
};

// A larger number is rejected as invalid, because no server runs or queues that many requests.
const maximumCount = 1_000_000;

const fieldCount = 3;

// Declared here because the bundler does not share literals between calls.
const digitsOnly = /^\d+$/v;

/**
Parses `RUNNING,WAITING,SLOTS`; the error describes what is invalid.
*/
export const parseStatedLoad = (text: string): Result<StatedLoad, string> => {
	const fields = text.split(',').map((field) => field.trim());
	if (fields.length !== fieldCount) {
		return Result.err('expected three numbers');
	}

	const isCount = (field: string) =>
		digitsOnly.test(field) && Number(field) <= maximumCount;
	if (fields.some((field) => !isCount(field))) {
		return Result.err('expected three counts of requests');
	}

	const [running = 0, waiting = 0, slots = 0] = fields.map(Number);
	return running > slots
		? Result.err('more requests running than slots')
		: Result.ok({running, waiting, slots});
};
