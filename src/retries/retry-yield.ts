/**
Learns whether it helps to send a request to another backend server after one answered with a fault.
Some requests fail wherever they run; repeating those only adds load.
*/
export type RetryYield = {
	/**
	Whether the next failed request of the route should be tried again.
	*/
	isWorthwhile(route: string): boolean;
	/**
	Enters how such a retry ended.
	*/
	record(route: string, isSuccess: boolean): void;
};

/**
Below this share of successful retries, only a sample is retried.
*/
export const minimumRetryYield = 0.15;

/**
One of so many failed requests is retried all the same, to notice when retries help again.
*/
export const retrySampleInterval = 8;

// What is taken as the share before anything was seen, and the weight of one more retry in it.
const initialYield = 0.3;
const weight = 0.1;

type Entry = {share: number; skipped: number};

/**
Builds a yield that knows nothing yet.
*/
export const createRetryYield = (): RetryYield => {
	const entries = new Map<string, Entry>();

	const entryOf = (route: string): Entry => {
		const known = entries.get(route);
		if (known) {
			return known;
		}

		const entry = {share: initialYield, skipped: 0};
		entries.set(route, entry);
		return entry;
	};

	return {
		isWorthwhile(route) {
			const entry = entryOf(route);
			if (entry.share >= minimumRetryYield) {
				return true;
			}

			entry.skipped = (entry.skipped + 1) % retrySampleInterval;
			return entry.skipped === 0;
		},
		record(route, isSuccess) {
			const entry = entryOf(route);
			entry.share += ((isSuccess ? 1 : 0) - entry.share) * weight;
		},
	};
};
