import {createWaitQueue} from '../limits/index.ts';
import type {GatewayRequest} from './gateway-request.ts';

/**
Result of waiting for a free slot.
*/
export type QueueResult = 'ready' | 'expired' | 'full' | 'closed';

/**
Bounded queue of requests that wait for a free slot.
*/
export type CapacityQueue = {
	wait(request: GatewayRequest): Promise<QueueResult>;
	/**
	Wakes the first waiting request, because a slot may have become free.
	*/
	notify(): void;
	/**
	Ends the wait of all requests whose deadline has passed.
	*/
	expire(now: number): void;
	/**
	Ends all waits, those of later requests at once. Called when the node leaves and might exit before a wait ends.
	*/
	close(): void;
	/**
	Seconds after which a rejected request should retry.
	*/
	retryAfterSeconds(): number;
	length(): number;
};

/**
Options of `createCapacityQueue`.
*/
export type CapacityQueueOptions = {
	readonly clock: () => number;
	readonly maximumWaiting: number;
	readonly maximumWaitMs: number;
};

type Waiter = {readonly settle: (end: QueueResult) => void};

/**
Creates an empty queue.
*/
export const createCapacityQueue = (
	options: CapacityQueueOptions,
): CapacityQueue => {
	const queue = createWaitQueue<Waiter>(options.maximumWaiting);
	let isClosed = false;

	return {
		async wait(request) {
			if (isClosed) {
				return 'closed';
			}

			return new Promise((resolve) => {
				const onAbort = () => {
					queue.remove(waiter);
					resolve('expired');
				};

				const waiter: Waiter = {
					settle(end) {
						request.signal.removeEventListener('abort', onAbort);
						resolve(end);
					},
				};
				request.signal.addEventListener('abort', onAbort, {once: true});
				const result = queue.enqueue({
					item: waiter,
					priority: request.priority,
					deadline: Math.min(
						request.deadline,
						options.clock() + options.maximumWaitMs,
					),
					clientName: request.client.name,
				});
				if (result.kind === 'full') {
					waiter.settle('full');
				} else if (result.kind === 'displaced') {
					result.waiter.item.settle('full');
				}
			});
		},
		notify() {
			queue.takeFirst(() => true)?.item.settle('ready');
		},
		expire(now) {
			for (const {item} of queue.takeExpired(now)) {
				item.settle('expired');
			}
		},
		close() {
			isClosed = true;
			for (const {item} of queue.takeExpired(Infinity)) {
				item.settle('closed');
			}
		},
		// The wait of a new request grows with the length of the queue: 1 s if empty, 3 s if full.
		retryAfterSeconds: () =>
			1 + Math.ceil((queue.length() / Math.max(1, options.maximumWaiting)) * 2),
		length: () => queue.length(),
	};
};
