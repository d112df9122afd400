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
Rate limits that backend servers state in their responses. Each limit applies to all nodes together.
*/
export type BackendLimits = {
	/**
	Records the limit that a server stated in a response, or that it stated none.

	@param incarnationId Identifies the incarnation of the server.
	*/
	recordStatement(
		incarnationId: string,
		statement: LimitStatement,
		source: Exclude<LimitChange['source'], 'node'>,
	): void;
	/**
	Processes the limits that another node broadcast.
	*/
	receive(message: BackendLimitMessage, now: number): void;
	/**
	Whether this node may send another request to a server now.
	*/
	canSend(incarnationId: string, now: number): boolean;
	/**
	Returns the requests per second that this node may send to a server; undefined if the server has no limit.
	*/
	rateOf(incarnationId: string): number | undefined;
	/**
	Returns the minimum interval between two polls of an engine, in milliseconds; 0 if it has no limit.
	*/
	enginePollIntervalMs(incarnationId: string): number;
	/**
	Records that a request is sent to a server, regardless of its limit.
	*/
	recordSend(incarnationId: string, now: number): void;
	/**
	Broadcasts limits to the other nodes and removes expired ones; called at each tick.
	*/
	tick(now: number): void;
	/**
	Whether any server has a limit.
	*/
	hasAny(): boolean;
	/**
	For metrics: servers that have a limit, requests sent to them, and the number of times `canSend` returned false.
	*/
	limitedServers(): number;
	sentToLimited(): number;
	heldBack(): number;
};

/**
Options of `createBackendLimits`.
*/
export type BackendLimitsOptions = {
	readonly self: string;
	/**
	The other reachable nodes that send to the same servers; replaced by another array when they change.
	*/
	readonly peers: () => readonly Member[];
	/**
	Fraction of all such nodes that is reachable, including this one, from 0 to 1.
	*/
	readonly reachableFraction: () => number;
	/**
	Whether this node may use rate-limited servers: its view of the other nodes has settled, and it is not shutting down.
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
Maximum interval between two polls of a rate-limited engine, in milliseconds.
*/
export const maximumEnginePollIntervalMs = 30_000;

// Allowance for the network transit of a message, which the ages in it do not include, in milliseconds.
const transitMs = 100;

/**
Creates an empty set of limits.
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

	const applyStatement = (
		incarnationId: string,
		statement: LimitStatement,
		origin: Pick<LimitChange, 'source' | 'from'>,
		now: number,
	) => {
		const change = entries.record(incarnationId, statement, now);
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
				...origin,
				ageMs: now - statement.earliest,
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
		entry.hasPendingChange ||= origin.source !== 'node';
	};

	const fill = (incarnationId: string, entry: LimitEntry, now: number) => {
		const share = shareOf(incarnationId, entry);
		if (share) {
			entry.bucket.fill(share, now);
		}
	};

	return {
		recordStatement(incarnationId, statement, source) {
			applyStatement(incarnationId, statement, {source}, statement.latest);
		},
		receive({from, limits}, now) {
			for (const {
				incarnationId,
				perSecond,
				earliestAgoMs,
				latestAgoMs,
			} of limits) {
				// A message that was delayed or processed late may be outdated.
				if (latestAgoMs > freshStatementMs) {
					continue;
				}

				const earliest = now - earliestAgoMs - transitMs;
				const latest = now - latestAgoMs;
				const origin = {source: 'node', from} as const;
				applyStatement(
					incarnationId,
					{perSecond, earliest, latest},
					origin,
					now,
				);
				entries.recordPeerBroadcast(incarnationId, perSecond, now);
			}
		},
		canSend(incarnationId, now) {
			const entry = entries.get(incarnationId);
			if (isOff || entry?.perSecond === undefined) {
				return true;
			}

			fill(incarnationId, entry, now);
			const isAllowed = entry.bucket.canTake();
			heldBack += isAllowed ? 0 : 1;
			return isAllowed;
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
			// Buckets are refilled at each tick, so that a node that becomes a sender gains no tokens for the time before.
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
