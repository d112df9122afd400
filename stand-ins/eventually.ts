import {setTimeout as sleep} from 'node:timers/promises';

const retryIntervalMs = 50;

/**
Repeats an attempt until it succeeds. Throws the last error after the time-out.
*/
export const eventually = async <Value>(
	attempt: () => Promise<Value>,
	timeoutMs: number,
): Promise<Value> => {
	const deadline = Date.now() + timeoutMs;
	for (;;) {
		try {
			return await attempt();
		} catch (error) {
			if (Date.now() >= deadline) {
				throw error;
			}

			await sleep(retryIntervalMs);
		}
	}
};
