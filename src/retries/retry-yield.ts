/**
Tracks how often a retry at another backend server succeeds after a server responded with an error. Some requests fail on every
server; retrying them only adds load.
*/
export type RetryYield = {
	/**
	Whether the next failed request of the route should be retried.
	*/
	isWorthwhile(route: string): boolean;
	/**
	Records the result of such a retry.
	*/
	record(route: string, isSuccess: boolean): void;
};

/**
Fraction of successful retries below which only a sample of the failed requests is retried.
*/
export const minimumRetryYield = 0.15;

/**
Sampling interval below the minimum yield: one of this many failed requests is retried, to detect when retries succeed again.
*/
export const retrySampleInterval = 8;

// Initial yield, and weight of the latest retry in the moving average.
const initialYield = 0.3;
const yieldWeight = 0.1;

type Entry = {yieldFraction: number; skipped: number};

/**
Creates a yield without recorded retries.
*/
export const createRetryYield = (): RetryYield => {
	const entries = new Map<string, Entry>();

	const entryOf = (route: string): Entry => {
		const known = entries.get(route);
		if (known) {
			return known;
		}

		const entry = {yieldFraction: initialYield, skipped: 0};
		entries.set(route, entry);
		return entry;
	};

	return {
		isWorthwhile(route) {
			const entry = entryOf(route);
			if (entry.yieldFraction >= minimumRetryYield) {
				return true;
			}

			entry.skipped = (entry.skipped + 1) % retrySampleInterval;
			return entry.skipped === 0;
		},
		record(route, isSuccess) {
			const entry = entryOf(route);
			entry.yieldFraction +=
				((isSuccess ? 1 : 0) - entry.yieldFraction) * yieldWeight;
		},
	};
};
