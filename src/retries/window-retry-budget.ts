/**
Bound on the retries that all nodes together send to a service.
*/
export type SharedRetryBound = {
	/**
	Retries per request in the window.
	*/
	readonly ratio: number;
	readonly windowMs: number;
	/**
	Retries of all nodes in the window in addition to the ratio.
	*/
	readonly slack: number;
};

/**
One node's budget of retries to each service.
*/
export type WindowRetryBudget = {
	/**
	Counts a request from a caller.
	*/
	recordRequest(service: string, now: number): void;
	/**
	Deducts a retry; returns false if none is left.

	@param nodes Number of nodes that share the slack.
	*/
	tryTake(service: string, nodes: number, now: number): boolean;
};

/**
Fraction of the bound that is used. The remainder covers retries that arrive later than they were sent, and nodes that are not
known yet.
*/
export const usedBudgetFraction = 0.7;

const bucketMs = 500;

type Bucket = {readonly startedAt: number; requests: number; retries: number};

/**
Creates a budget. The ratio applies to this node's own requests, so the sum over all nodes observes it without coordination; the
slack is divided evenly.
*/
export const createWindowRetryBudget = (
	bound: SharedRetryBound,
): WindowRetryBudget => {
	const services = new Map<string, Bucket[]>();

	const currentBucket = (service: string, now: number): Bucket => {
		const buckets = services.get(service) ?? [];
		services.set(service, buckets);
		while (buckets[0] && buckets[0].startedAt < now - bound.windowMs) {
			buckets.shift();
		}

		const last = buckets.at(-1);
		if (last && now < last.startedAt + bucketMs) {
			return last;
		}

		const bucket = {startedAt: now, requests: 0, retries: 0};
		buckets.push(bucket);
		return bucket;
	};

	return {
		recordRequest(service, now) {
			currentBucket(service, now).requests += 1;
		},
		tryTake(service, nodes, now) {
			const bucket = currentBucket(service, now);
			let requests = 0;
			let retries = 0;
			for (const each of services.get(service)!) {
				requests += each.requests;
				retries += each.retries;
			}

			const allowed =
				usedBudgetFraction *
				(bound.ratio * requests + bound.slack / Math.max(1, nodes));
			if (retries + 1 > allowed) {
				return false;
			}

			bucket.retries += 1;
			return true;
		},
	};
};
