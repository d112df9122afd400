import type {
	LeavingServer,
	ServerLeavingMessage,
} from '../peers/leaving-messages.ts';
import type {NodeOrder} from '../shared/index.ts';

/**
Tells the other nodes of the region which servers have announced their shutdown, so that also those stop sending that the
server has not told.

The first node in rendezvous order for the server broadcasts, and the next ones only where nobody was heard to: a message for
each pair of nodes would otherwise follow each shutdown.
*/
export type LeavingBroadcast = {
	/**
	A server has announced its shutdown to this node.
	*/
	recordAnnouncement(leaving: LeavingServer, now: number): void;
	/**
	Another node has broadcast it.
	*/
	recordPeerBroadcast(life: string): void;
	/**
	Broadcasts what is due; called at each tick.
	*/
	tick(now: number): void;
};

/**
What a broadcast is built from.
*/
export type LeavingBroadcastOptions = {
	readonly self: string;
	readonly order: NodeOrder;
	/**
	Tells all other nodes of the region.
	*/
	readonly sendToPeers: (message: ServerLeavingMessage) => void;
};

/**
Delay after which the next node in rendezvous order broadcasts instead, in milliseconds.
*/
export const leavingFailoverMs = 100;

/**
Nodes that come later in the order wait as long as this one.
*/
export const maximumFailoverRank = 10;

/**
Broadcasts of one shutdown, and the interval between them in milliseconds: datagrams are lost.
*/
export const leavingBroadcastCount = 3;
export const leavingBroadcastIntervalMs = 700;

type Pending = {
	readonly leaving: LeavingServer;
	dueAt: number;
	left: number;
};

/**
Builds a broadcast that has nothing to tell.
*/
export const createLeavingBroadcast = ({
	self,
	order,
	sendToPeers,
}: LeavingBroadcastOptions): LeavingBroadcast => {
	const pending = new Map<string, Pending>();

	return {
		recordAnnouncement(leaving, now) {
			const {incarnationId} = leaving;
			const waitMs =
				Math.min(maximumFailoverRank, order.rank(incarnationId)) *
				leavingFailoverMs;
			pending.set(incarnationId, {
				leaving,
				dueAt: now + waitMs,
				left: leavingBroadcastCount,
			});
		},
		recordPeerBroadcast(incarnationId) {
			pending.delete(incarnationId);
		},
		tick(now) {
			const due = pending
				.values()
				.filter(({dueAt}) => dueAt <= now)
				.toArray();
			if (due.length === 0) {
				return;
			}

			for (const each of due) {
				each.left -= 1;
				each.dueAt = now + leavingBroadcastIntervalMs;
				if (each.left === 0) {
					pending.delete(each.leaving.incarnationId);
				}
			}

			sendToPeers({
				kind: 'servers-leaving',
				from: self,
				servers: due.map(({leaving}) => leaving),
			});
		},
	};
};
