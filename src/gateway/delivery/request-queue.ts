import type {WaitingRequests} from '../../slot-leases/index.ts';
import {leastUrgent} from '../wire-headers.ts';
import type {QueueRefusal} from './judge-queued.ts';

/**
A request that waits until a backend server has capacity.
*/
export type QueuedRequest = {
	/**
	0 is the most urgent.
	*/
	readonly priority: number;
	readonly queuedAt: number;
	/**
	When a response starts to exceed the target latency, by the node's clock in milliseconds.
	*/
	readonly targetAt: number;
	/**
	When the request is refused if it is still queued.
	*/
	readonly expiresAt: number;
	/**
	Time within which the request is expected to be answered once it is sent, in milliseconds.
	*/
	readonly expectedMs: number;
	/**
	The node that forwarded the request; undefined if it came from a caller.
	*/
	readonly origin: string | undefined;
	readonly service: string;
	/**
	Requests with the same key have the same candidate servers.
	*/
	readonly placementKey: string;
	/**
	Returns the predicted milliseconds until the request gets capacity, given the number of requests ahead of it.
	*/
	readonly capacityWaitMs: (ahead: number) => number;
	/**
	Whether that prediction rests on what was observed or stated, not on an assumed rate.
	*/
	readonly isWaitPredictable: () => boolean;
	/**
	Tries to send the request. Returns false if there is still no capacity.
	*/
	readonly trySend: () => boolean;
	readonly refuse: (refusal: QueueRefusal) => void;
};

/**
A queue of requests, ordered by priority. Requests of equal priority that can still meet their target latency come before
those that cannot, and otherwise in the order in which they were queued.
*/
export type RequestQueue = {
	add(request: QueuedRequest): void;
	remove(request: QueuedRequest): void;
	/**
	Sends the requests for which there is capacity.
	*/
	dispatch(now: number): void;
	/**
	Refuses the requests that should not wait any longer.

	@param judge Returns why a request is refused, if it is, given the number of requests of its service ahead of it.
	*/
	expire(
		now: number,
		judge: (request: QueuedRequest, ahead: number) => QueueRefusal | undefined,
	): void;
	/**
	Returns the number of requests of a service that are ahead of a new one with this priority.
	*/
	countAhead(service: string, priority: number): number;
	/**
	Returns the number of requests of a service, and the priority of the most urgent.
	*/
	waiting(service: string): WaitingRequests;
	length(): number;
};

/**
Creates an empty queue.
*/
export const createRequestQueue = (): RequestQueue => {
	let queue: readonly QueuedRequest[] = [];
	let isDispatching = false;

	const remove = (request: QueuedRequest) => {
		queue = queue.filter((each) => each !== request);
	};

	return {
		add(request) {
			queue = [...queue, request];
		},
		remove,
		dispatch(now) {
			// Sending a request may release capacity at once and so call this method again.
			if (isDispatching || queue.length === 0) {
				return;
			}

			isDispatching = true;
			queue = inOrder(queue, now);
			// If the first request with a key finds no capacity, the others with that key find none either. Skipping them
			// matters under load: each attempt scans all servers, and a long queue is traversed whenever a request ends.
			const full = new Set<string>();
			try {
				for (const request of queue) {
					if (full.has(request.placementKey)) {
						continue;
					}

					if (request.trySend()) {
						remove(request);
					} else {
						full.add(request.placementKey);
					}
				}
			} finally {
				isDispatching = false;
			}
		},
		expire(now, judge) {
			const aheadByService = new Map<string, number>();
			for (const request of inOrder(queue, now)) {
				const count = aheadByService.get(request.service) ?? 0;
				const refusal = judge(request, count);
				if (refusal === undefined) {
					aheadByService.set(request.service, count + 1);
				} else {
					remove(request);
					request.refuse(refusal);
				}
			}
		},
		countAhead: (service, priority) =>
			queue.filter(
				(each) => each.service === service && each.priority <= priority,
			).length,
		waiting(service) {
			let count = 0;
			let urgency = leastUrgent;
			for (const each of queue) {
				if (each.service !== service) {
					continue;
				}

				count += 1;
				urgency = Math.min(urgency, each.priority);
			}

			return {count, urgency};
		},
		length: () => queue.length,
	};
};

// Within a priority, requests that are already late come last: served first, they would make the others late too.
const inOrder = (
	queue: readonly QueuedRequest[],
	now: number,
): readonly QueuedRequest[] => {
	const rankOf = ({targetAt}: QueuedRequest) => (targetAt <= now ? 1 : 0);
	return queue.toSorted((left, right) => {
		const byPriority = left.priority - right.priority;
		const byRank = rankOf(left) - rankOf(right);
		return byPriority === 0
			? byRank === 0
				? left.queuedAt - right.queuedAt
				: byRank
			: byPriority;
	});
};
