import type {
	BackendLimitMessage,
	LimitUpdate,
} from '../peers/backend-limit-messages.ts';
import type {NodeOrder} from '../shared/index.ts';
import type {LimitEntries, LimitEntry} from './limit-entries.ts';
import {lowestStatement} from './limit-statement.ts';

/**
Broadcasts limits to the other nodes: at once when this node hears of a change from the server itself, and repeatedly while the
statement is fresh, for nodes that missed it or have started since.
*/
export type LimitBroadcast = {
	/**
	Called at each tick.
	*/
	tick(now: number): void;
};

/**
What a broadcast is built from.
*/
export type LimitBroadcastOptions = {
	readonly self: string;
	readonly entries: LimitEntries;
	readonly order: NodeOrder;
	/**
	Tells all other nodes that send to the same servers.
	*/
	readonly sendToPeers: (message: BackendLimitMessage) => void;
};

/**
Interval at which a limit is broadcast by any node, in milliseconds.
*/
export const broadcastIntervalMs = 1000;

/**
Delay after which the next node in rendezvous order broadcasts instead, in milliseconds.
*/
export const broadcastFailoverMs = 200;

// Nodes that come later in the order wait as long as this one.
const lastFailover = 10;

/**
Age beyond which a statement is not passed on, in milliseconds: the server may have changed its limit since.
*/
export const freshStatementMs = 10_000;

/**
Shortest time between two broadcasts of a limit that keeps changing, in milliseconds.
*/
export const minimumBroadcastGapMs = 500;

/**
Builds a broadcast that has told nothing.
*/
export const createLimitBroadcast = ({
	self,
	entries,
	order,
	sendToPeers,
}: LimitBroadcastOptions): LimitBroadcast => {
	const isDue = (
		incarnationId: string,
		{lastBroadcastAt, hasPendingChange}: LimitEntry,
		now: number,
	): boolean => {
		const silentMs = now - lastBroadcastAt;
		const stepsMs =
			Math.min(lastFailover, order.rank(incarnationId)) * broadcastFailoverMs;
		return (
			silentMs >=
			(hasPendingChange ? minimumBroadcastGapMs : broadcastIntervalMs + stepsMs)
		);
	};

	return {
		tick(now) {
			const limits: LimitUpdate[] = [];
			for (const incarnationId of entries.incarnationIds()) {
				const entry = entries.get(incarnationId)!;
				const told = isDue(incarnationId, entry, now)
					? toldLimit(incarnationId, entry, now)
					: undefined;
				if (!told) {
					continue;
				}

				entry.hasPendingChange = false;
				entry.lastBroadcastAt = now;
				limits.push(told);
			}

			if (limits.length > 0) {
				sendToPeers({kind: 'backend-limits', from: self, limits});
			}
		},
	};
};

const toldLimit = (
	incarnationId: string,
	{statements}: LimitEntry,
	now: number,
): LimitUpdate | undefined => {
	const statement = lowestStatement(statements);
	return statement === undefined || now - statement.latest > freshStatementMs
		? undefined
		: {
				incarnationId,
				perSecond: statement.perSecond,
				earliestAgoMs: now - statement.earliest,
				latestAgoMs: now - statement.latest,
			};
};
