import {createWaitQueue} from '../limits/index.ts';
import type {GatewayRequest} from './gateway-request.ts';

/**
How a wait for a free slot ended.
*/
export type QueueResult = 'ready' | 'expired' | 'full';

/**
Lets requests wait a short while for a free slot.
*/
export type CapacityQueue = {
	wait(request: GatewayRequest): Promise<QueueResult>;
	/**
	Says that a slot may have become free.
	*/
	notify(): void;
	/**
	Answers those who have waited long enough.
	*/
	expire(now: number): void;
	/**
	When a request that is turned away should come back.
	*/
	retryAfterSeconds(): number;
	length(): number;
};

/**
What a wait is built from.
*/
export type CapacityQueueOptions = {
	readonly clock: () => number;
	readonly maximumWaiting: number;
	readonly maximumWaitMs: number;
};

type Ticket = {readonly settle: (end: QueueResult) => void};

/**
Builds an empty line of waiting requests.
*/
export const createCapacityQueue = (
	options: CapacityQueueOptions,
): CapacityQueue => {
	const line = createWaitQueue<Ticket>(options.maximumWaiting);

	return {
		async wait(request) {
			return new Promise((resolve) => {
				const ticket: Ticket = {settle: resolve};
				const verdict = line.enqueue({
					item: ticket,
					priority: request.priority,
					deadline: Math.min(
						request.deadline,
						options.clock() + options.maximumWaitMs,
					),
					clientName: request.client.name,
				});
				if (verdict.kind === 'full') {
					resolve('full');
				} else if (verdict.kind === 'displaced') {
					verdict.waiter.item.settle('full');
				}

				request.signal.addEventListener(
					'abort',
					() => {
						line.remove(ticket);
						resolve('expired');
					},
					{once: true},
				);
			});
		},
		notify() {
			line.takeFirst(() => true)?.item.settle('ready');
		},
		expire(now) {
			for (const {item} of line.takeExpired(now)) {
				item.settle('expired');
			}
		},
		// The fuller the line, the longer it takes until a newcomer would get through.
		retryAfterSeconds: () =>
			1 + Math.ceil((line.length() / Math.max(1, options.maximumWaiting)) * 2),
		length: () => line.length(),
	};
};
