import {Result} from 'true-myth';

/**
What a backend server says of its load in an answer: requests of all nodes.
*/
export type StatedLoad = {
	readonly running: number;
	readonly waiting: number;
	/**
	Requests that it runs at the same time.
	*/
	readonly slots: number;
};

// No server runs or queues as many requests as this; a greater number is a fault of its own.
const largestCount = 1_000_000;

const parts = 3;

// Hoisted: the bundler does not share literals between calls.
const digitsOnly = /^\d+$/v;

/**
Reads `RUNNING,WAITING,SLOTS`; the error says what is wrong with it.
*/
export const parseStatedLoad = (text: string): Result<StatedLoad, string> => {
	const fields = text.split(',').map((field) => field.trim());
	if (fields.length !== parts) {
		return Result.err('it has not three numbers');
	}

	const isCount = (field: string) =>
		digitsOnly.test(field) && Number(field) <= largestCount;
	if (fields.some((field) => !isCount(field))) {
		return Result.err('one of its numbers is no count of requests');
	}

	const [running = 0, waiting = 0, slots = 0] = fields.map(Number);
	return running > slots
		? Result.err('more requests run than there are slots')
		: Result.ok({running, waiting, slots});
};
