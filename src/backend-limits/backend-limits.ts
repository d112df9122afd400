import type {Logger} from '../logging/index.ts';
import type {DisabledMechanisms} from '../mechanisms/index.ts';
import type {Member} from '../membership/index.ts';
import type {BackendLimitMessage} from '../peers/backend-limit-messages.ts';
import {createDerived, createNodeOrder} from '../shared/index.ts';
import {createLimitEntries, type LimitEntry} from './limit-entries.ts';
import {createLimitLog, type LimitChange} from './limit-log.ts';
import {
	limitShare,
	enginePollFraction,
	type LimitShare,
} from './limit-share.ts';
import type {LimitStatement} from './limit-statement.ts';
import {createLimitBroadcast, freshStatementMs} from './limit-broadcast.ts';

/**
The limits that backend servers name in their answers, each for all nodes together.
*/
export type BackendLimits = {
	/**
	An answer of a server named its limit, or none.

	@param life Names the life of the server.
	*/
	recordStatement(
		life: string,
		statement: LimitStatement,
		source: Exclude<LimitChange['source'], 'node'>,
	): void;
	/**
	Takes in what another node tells.
	*/
	receive(message: BackendLimitMessage, now: number): void;
	/**
	Whether this node may send one more request to a server now.
	*/
	canSend(life: string, now: number): boolean;
	/**
	Requests a second that this node may send to a server; undefined where the server has no limit.
	*/
	rateOf(life: string): number | undefined;
	/**
	Milliseconds between two readings of what an engine keeps; 0 where it has no limit.
	*/
	enginePollIntervalMs(life: string): number;
	/**
	A request is sent to a server, whatever its limit.
	*/
	recordSend(life: string, now: number): void;
	/**
	Tells other nodes, and forgets limits that have ended; called at each tick.
	*/
	tick(now: number): void;
	/**
	Whether any server has a limit.
	*/
	hasAny(): boolean;
	/**
	For metrics: servers that have a limit, requests that were sent to them, and looks that found no room.
	*/
	limitedServers(): number;
	sentToLimited(): number;
	heldBack(): number;
};

/**
What limits are built from.
*/
export type BackendLimitsOptions = {
	readonly self: string;
	/**
	The other nodes that send to the same servers and can be heard; replaced when they change.
	*/
	readonly peers: () => readonly Member[];
	/**
	The part of all such nodes that can be heard, this one included, from 0 to 1.
	*/
	readonly reachableFraction: () => number;
	/**
	Whether this node may use a limited server: it has had time to hear of the others, and is not leaving.
	*/
	readonly canUseLimitedServers: () => boolean;
	readonly send: (
		members: readonly Member[],
		message: BackendLimitMessage,
	) => void;
	readonly without: DisabledMechanisms;
	readonly logger: Logger;
};

/**
The longest pause between two readings of what a limited engine keeps, in milliseconds.
*/
export const maximumEnginePollIntervalMs = 30_000;

// What a message may have been under way longer than its ages say, in milliseconds.
const transitMs = 100;

/**
Builds an empty set of limits.
*/
export const createBackendLimits = ({
	self,
	peers,
	reachableFraction,
	canUseLimitedServers,
	send,
	without,
	logger,
}: BackendLimitsOptions): BackendLimits => {
	const entries = createLimitEntries();
	const log = createLimitLog(logger);
	const order = createNodeOrder(
		self,
		createDerived(peers, (members) => members.map(({id}) => id)),
	);
	const isOff = without.has('backend-limits');
	const broadcast = createLimitBroadcast({
		self,
		entries,
		order,
		sendToPeers(message) {
			send(peers(), message);
		},
	});
	let sentToLimited = 0;
	let heldBack = 0;

	const shareOf = (
		incarnationId: string,
		{perSecond}: LimitEntry,
	): LimitShare | undefined =>
		perSecond === undefined
			? undefined
			: limitShare(canUseLimitedServers() ? perSecond : 0, {
					rank: order.rank(incarnationId),
					nodes: peers().length + 1,
					reachableFraction: reachableFraction(),
				});

	const take = (
		incarnationId: string,
		given: LimitStatement,
		how: Pick<LimitChange, 'source' | 'from'>,
		now: number,
	) => {
		const change = entries.record(incarnationId, given, now);
		if (!change) {
			return;
		}

		const {entry, before} = change;
		const {perSecond, sentSinceChange} = entry;
		const share = shareOf(incarnationId, entry);
		log.changed(
			{
				incarnationId,
				before,
				perSecond,
				...how,
				ageMs: now - given.earliest,
			},
			{
				sentBefore: sentSinceChange,
				...(share && {share: share.perSecond}),
				nodes: peers().length + 1,
				reachableFraction: reachableFraction(),
			},
			now,
		);
		entry.sentSinceChange = 0;
		entry.hasPendingChange ||= how.source !== 'node';
	};

	const fill = (incarnationId: string, entry: LimitEntry, now: number) => {
		const share = shareOf(incarnationId, entry);
		if (share) {
			entry.bucket.fill(share, now);
		}
	};

	return {
		recordStatement(incarnationId, statement, source) {
			take(incarnationId, statement, {source}, statement.latest);
		},
		receive({from, limits}, now) {
			for (const {
				incarnationId,
				perSecond,
				earliestAgoMs,
				latestAgoMs,
			} of limits) {
				// What was delayed on its way, or was read late, may be long over.
				if (latestAgoMs > freshStatementMs) {
					continue;
				}

				const earliest = now - earliestAgoMs - transitMs;
				const latest = now - latestAgoMs;
				const how = {source: 'node', from} as const;
				take(incarnationId, {perSecond, earliest, latest}, how, now);
				entries.recordPeerBroadcast(incarnationId, perSecond, now);
			}
		},
		canSend(incarnationId, now) {
			const entry = entries.get(incarnationId);
			if (isOff || entry?.perSecond === undefined) {
				return true;
			}

			fill(incarnationId, entry, now);
			const isThere = entry.bucket.canTake();
			heldBack += isThere ? 0 : 1;
			return isThere;
		},
		rateOf(incarnationId) {
			const entry = entries.get(incarnationId);
			return entry && !isOff
				? shareOf(incarnationId, entry)?.perSecond
				: undefined;
		},
		enginePollIntervalMs(incarnationId) {
			const perSecond = entries.get(incarnationId)?.perSecond;
			return perSecond === undefined || isOff
				? 0
				: Math.min(
						maximumEnginePollIntervalMs,
						1000 / (perSecond * enginePollFraction),
					);
		},
		recordSend(incarnationId, now) {
			const entry = entries.get(incarnationId);
			if (entry?.perSecond === undefined) {
				return;
			}

			fill(incarnationId, entry, now);
			entry.bucket.take();
			entry.sentSinceChange += 1;
			sentToLimited += 1;
		},
		tick(now) {
			entries.removeExpired(now);
			// A node that comes to send to a server has not rested before.
			for (const incarnationId of entries.incarnationIds()) {
				fill(incarnationId, entries.get(incarnationId)!, now);
			}

			if (isOff) {
				return;
			}

			broadcast.tick(now);
		},
		hasAny: () => !isOff && entries.limitedCount() > 0,
		limitedServers: entries.limitedCount,
		sentToLimited: () => sentToLimited,
		heldBack: () => heldBack,
	};
};
