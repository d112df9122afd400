import {setTimeout as sleep} from 'node:timers/promises';

// Pause between two looks, in milliseconds.
const pauseMs = 50;

/**
Waits for what nodes do in their own time. It never fails by itself: a test fails by what it checks
afterwards.

@param isTrue Whether it has come about.
@param turns How often it is looked at, every 50 milliseconds.
*/
export const waitUntil = async (
	isTrue: () => boolean | Promise<boolean>,
	turns = 100,
): Promise<void> => {
	for (let turn = 0; turn < turns; turn += 1) {
		if (await isTrue()) {
			return;
		}

		await sleep(pauseMs);
	}
};
