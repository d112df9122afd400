import {assertNever} from '../../shared/index.ts';
import type {QueuedRequest} from './request-queue.ts';

/**
Why a queued request is refused.
*/
export const queueRefusals = {
	/**
	It will not get capacity in time.
	*/
	noCapacity: 'no-capacity',
	/**
	This node exits before the request would be answered. Another node may still serve it.
	*/
	nodeLeaves: 'node-leaves',
	/**
	The node that forwarded the request is leaving and would not be there to pass its response on.
	*/
	originLeaves: 'origin-leaves',
} as const;

/**
One of `queueRefusals`.
*/
export type QueueRefusal = (typeof queueRefusals)[keyof typeof queueRefusals];

/**
State of the node against which queued requests are judged. All times are milliseconds of its clock.
*/
export type QueueConditions = {
	readonly now: number;
	/**
	When this node exits; infinite unless it is leaving.
	*/
	readonly exitsAt: number;
	readonly isNodeLeaving: (node: string) => boolean;
	/**
	Whether a service waits for servers that are silent and may respond again.
	*/
	readonly isAwaitingSilentServers: (service: string) => boolean;
};

/**
Returns why a queued request is refused, or undefined if it continues to wait.

@param request The request in the queue.
@param ahead Number of requests of its service ahead of it.
@param conditions State of the node.
*/
export const judgeQueued = (
	request: QueuedRequest,
	ahead: number,
	conditions: QueueConditions,
): QueueRefusal | undefined => {
	const {expiresAt, expectedMs, origin} = request;
	const {now, exitsAt} = conditions;
	if (expiresAt <= now) {
		return queueRefusals.noCapacity;
	}

	if (origin !== undefined && conditions.isNodeLeaving(origin)) {
		return queueRefusals.originLeaves;
	}

	const latestStart = exitsAt - expectedMs;
	if (latestStart < expiresAt) {
		return isServedBefore(latestStart, request, ahead, conditions)
			? undefined
			: queueRefusals.nodeLeaves;
	}

	return isHopeless(request, ahead, conditions)
		? queueRefusals.noCapacity
		: undefined;
};

/**
Returns the reason that a refused request is given.
*/
export const reasonOf = (refusal: QueueRefusal): string => {
	switch (refusal) {
		case 'no-capacity': {
			return 'No backend server has room';
		}

		case 'node-leaves': {
			return 'This node ends before the request would; send it to another node now';
		}

		case 'origin-leaves': {
			return 'The node that forwarded the request is leaving';
		}

		default: {
			return assertNever(refusal);
		}
	}
};

// Other nodes can queue the request as well as this one. It stays only if releases of slots, not assumptions, show that it
// will be sent and answered before the node exits.
const isServedBefore = (
	latestStart: number,
	{service, isWaitPredictable, capacityWaitMs}: QueuedRequest,
	ahead: number,
	{now, isAwaitingSilentServers}: QueueConditions,
): boolean =>
	latestStart > now &&
	(isAwaitingSilentServers(service) ||
		(isWaitPredictable() && now + capacityWaitMs(ahead) <= latestStart));

// Predictions fluctuate, so a request is refused only if its predicted wait exceeds twice its remaining time.
const isHopeless = (
	{service, expiresAt, capacityWaitMs}: QueuedRequest,
	ahead: number,
	{now, isAwaitingSilentServers}: QueueConditions,
): boolean =>
	!isAwaitingSilentServers(service) &&
	capacityWaitMs(ahead) > (expiresAt - now) * 2;
