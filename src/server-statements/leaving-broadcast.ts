import type {
	LeavingServer,
	ServerLeavingMessage,
} from '../peers/leaving-messages.ts';
import type {NodeOrder} from '../shared/index.ts';

/**
Broadcasts announced shutdowns of servers to the other nodes of the region, so that nodes to which the server has not announced
its shutdown stop sending requests to it, too.

The first node in rendezvous order for the server broadcasts. Each further node broadcasts only if it has received no broadcast.
Otherwise, each shutdown would cause one message for each pair of nodes.
*/
export type LeavingBroadcast = {
	/**
	Records that a server announced its shutdown to this node.
	*/
	recordAnnouncement(leaving: LeavingServer, now: number): void;
	/**
	Records that another node broadcast the shutdown of a server.
	*/
	recordPeerBroadcast(incarnationId: string): void;
	/**
	Sends the broadcasts that are due; called at each tick.
	*/
	tick(now: number): void;
};

/**
Options of `createLeavingBroadcast`.
*/
export type LeavingBroadcastOptions = {
	readonly self: string;
	readonly order: NodeOrder;
	/**
	Sends a message to all other nodes of the region.
	*/
	readonly sendToPeers: (message: ServerLeavingMessage) => void;
};

/**
Additional delay of each further node in rendezvous order before it broadcasts instead, in milliseconds.
*/
export const leavingFailoverMs = 100;

/**
Rank from which the delay does not increase any further.
*/
export const maximumFailoverRank = 10;

/**
Number of broadcasts of one shutdown, and the interval between them in milliseconds. Repetition compensates for lost datagrams.
*/
export const leavingBroadcastCount = 3;
export const leavingBroadcastIntervalMs = 700;

type Pending = {
	readonly leaving: LeavingServer;
	dueAt: number;
	remaining: number;
};

/**
Creates a broadcast without announcements.
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
			const delayMs =
				Math.min(maximumFailoverRank, order.rank(incarnationId)) *
				leavingFailoverMs;
			pending.set(incarnationId, {
				leaving,
				dueAt: now + delayMs,
				remaining: leavingBroadcastCount,
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
				each.remaining -= 1;
				each.dueAt = now + leavingBroadcastIntervalMs;
				if (each.remaining === 0) {
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
