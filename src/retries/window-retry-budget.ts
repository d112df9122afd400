/**
Bounds the retries that all nodes together send to a service.
*/
export type SharedRetryBound = {
	/**
	Retries for each request of the window.
	*/
	readonly ratio: number;
	readonly windowMs: number;
	/**
	Retries of the window on top of the ratio, over all nodes.
	*/
	readonly slack: number;
};

/**
One node's part of the retries to each service.
*/
export type WindowRetryBudget = {
	/**
	Counts a request of a caller.
	*/
	recordRequest(service: string, now: number): void;
	/**
	Takes a retry, or says that there is none left.

	@param nodes how many nodes share the slack.
	*/
	tryTake(service: string, nodes: number, now: number): boolean;
};

/**
Part of the bound that is used. The rest covers what arrives later than it was sent, and nodes that
are not known yet.
*/
export const usedBudgetFraction = 0.7;

const bucketMs = 500;

type Bucket = {readonly startedAt: number; requests: number; retries: number};

/**
Builds a budget. The ratio is of this node's own requests, so the sum over all nodes keeps it
without a message; the slack is split evenly.
*/
export const createWindowRetryBudget = (
	bound: SharedRetryBound,
): WindowRetryBudget => {
	const services = new Map<string, Bucket[]>();

	const current = (service: string, now: number): Bucket => {
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
			current(service, now).requests += 1;
		},
		tryTake(service, nodes, now) {
			const bucket = current(service, now);
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
