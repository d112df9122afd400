import {setTimeout as sleep} from 'node:timers/promises';

const pauseMs = 50;

/**
Tries until it succeeds; fails with the last error once the time is up.
*/
export const eventually = async <Value>(
	attempt: () => Promise<Value>,
	timeoutMs: number,
): Promise<Value> => {
	const until = Date.now() + timeoutMs;
	for (;;) {
		try {
			return await attempt();
		} catch (error) {
			if (Date.now() >= until) {
				throw error;
			}

			await sleep(pauseMs);
		}
	}
};
