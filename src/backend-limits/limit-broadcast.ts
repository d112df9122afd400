import type {
	BackendLimitMessage,
	LimitUpdate,
} from '../peers/backend-limit-messages.ts';
import type {NodeOrder} from '../shared/index.ts';
import type {LimitEntries, LimitEntry} from './limit-entries.ts';
import {lowestStatement} from './limit-statement.ts';

/**
Broadcasts limits to the other nodes: promptly when a server states a changed limit to this node, and repeatedly while the
statement is fresh, for nodes that missed a message or started later.
*/
export type LimitBroadcast = {
	/**
	Called at each tick.
	*/
	tick(now: number): void;
};

/**
Options of `createLimitBroadcast`.
*/
export type LimitBroadcastOptions = {
	readonly self: string;
	readonly entries: LimitEntries;
	readonly order: NodeOrder;
	/**
	Sends a message to all other nodes that send to the same servers.
	*/
	readonly sendToPeers: (message: BackendLimitMessage) => void;
};

/**
Interval at which the nodes together broadcast a limit, in milliseconds.
*/
export const broadcastIntervalMs = 1000;

/**
Additional delay of each further node in rendezvous order before it broadcasts instead, in milliseconds.
*/
export const broadcastFailoverMs = 200;

// Rank from which the delay does not increase any further.
const maximumFailoverRank = 10;

/**
Age above which a statement is not forwarded, in milliseconds: the server may have changed its limit in the meantime.
*/
export const freshStatementMs = 10_000;

/**
Minimum interval between two broadcasts of a limit that keeps changing, in milliseconds.
*/
export const minimumBroadcastGapMs = 500;

/**
Creates a broadcast in which no limit has been sent.
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
		const elapsedMs = now - lastBroadcastAt;
		const failoverMs =
			Math.min(maximumFailoverRank, order.rank(incarnationId)) *
			broadcastFailoverMs;
		return (
			elapsedMs >=
			(hasPendingChange
				? minimumBroadcastGapMs
				: broadcastIntervalMs + failoverMs)
		);
	};

	return {
		tick(now) {
			const limits: LimitUpdate[] = [];
			for (const incarnationId of entries.incarnationIds()) {
				const entry = entries.get(incarnationId)!;
				const update = isDue(incarnationId, entry, now)
					? limitUpdateOf(incarnationId, entry, now)
					: undefined;
				if (!update) {
					continue;
				}

				entry.hasPendingChange = false;
				entry.lastBroadcastAt = now;
				limits.push(update);
			}

			if (limits.length > 0) {
				sendToPeers({kind: 'backend-limits', from: self, limits});
			}
		},
	};
};

const limitUpdateOf = (
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
