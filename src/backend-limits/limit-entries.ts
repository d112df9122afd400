import {
	addStatement,
	lowestStatement,
	type LimitStatement,
	type LimitStatements,
} from './limit-statement.ts';
import {createTokenBucket, type TokenBucket} from './token-bucket.ts';

/**
State of the limit of one server.
*/
export type LimitEntry = {
	statements: LimitStatements;
	/**
	Limit in effect; undefined after it has ended.
	*/
	perSecond: number | undefined;
	readonly bucket: TokenBucket;
	/**
	Requests of this node since the last change of the limit.
	*/
	sentSinceChange: number;
	/**
	Time at which this or another node last broadcast the limit.
	*/
	lastBroadcastAt: number;
	/**
	Whether the server stated a change to this node that has not been broadcast yet.
	*/
	hasPendingChange: boolean;
	endedAt: number | undefined;
};

/**
Limits of servers, by incarnation id.
*/
export type LimitEntries = {
	get(incarnationId: string): LimitEntry | undefined;
	/**
	Records a statement; returns undefined if it does not change the limit.
	*/
	record(
		incarnationId: string,
		statement: LimitStatement,
		now: number,
	):
		| {readonly entry: LimitEntry; readonly before: number | undefined}
		| undefined;
	/**
	Records that another node broadcast a limit. If it differs from the limit known here, this node still broadcasts its own.
	*/
	recordPeerBroadcast(
		incarnationId: string,
		perSecond: number | undefined,
		now: number,
	): void;
	incarnationIds(): readonly string[];
	/**
	Number of servers that have a limit.
	*/
	limitedCount(): number;
	removeExpired(now: number): void;
};

/**
Retention of a limit that has ended, in milliseconds. During this time, its end is broadcast to nodes that missed it.
*/
export const endedLimitRetentionMs = 20_000;

/**
Retention of a limit without updates, in milliseconds. It is longer than a live server takes to state its limit again.
*/
export const silentLimitRetentionMs = 600_000;

/**
Maximum number of servers; the oldest entry is evicted first.
*/
export const maximumLimitedServers = 2000;

/**
Creates an empty set of entries.
*/
export const createLimitEntries = (): LimitEntries => {
	const entries = new Map<string, LimitEntry>();
	let count = 0;

	const remove = (incarnationId: string) => {
		count -= entries.get(incarnationId)?.perSecond === undefined ? 0 : 1;
		entries.delete(incarnationId);
	};

	const getOrCreate = (incarnationId: string, now: number): LimitEntry => {
		const known = entries.get(incarnationId);
		if (known) {
			return known;
		}

		if (entries.size >= maximumLimitedServers) {
			remove(entries.keys().next().value!);
		}

		const entry: LimitEntry = {
			statements: [],
			perSecond: undefined,
			bucket: createTokenBucket(now),
			sentSinceChange: 0,
			lastBroadcastAt: -Infinity,
			hasPendingChange: false,
			endedAt: undefined,
		};
		entries.set(incarnationId, entry);
		return entry;
	};

	const isExpired = (
		{endedAt, statements}: LimitEntry,
		now: number,
	): boolean =>
		endedAt === undefined
			? now - (lowestStatement(statements)?.latest ?? now) >
				silentLimitRetentionMs
			: now - endedAt > endedLimitRetentionMs;

	return {
		get: (incarnationId) => entries.get(incarnationId),
		record(incarnationId, statement, now) {
			// Most servers never state a limit, so no entry is created for them.
			if (statement.perSecond === undefined && !entries.has(incarnationId)) {
				return undefined;
			}

			const entry = getOrCreate(incarnationId, now);
			entry.statements = addStatement(entry.statements, statement);
			const before = entry.perSecond;
			const perSecond = lowestStatement(entry.statements)?.perSecond;
			if (perSecond === before) {
				return undefined;
			}

			entry.perSecond = perSecond;
			entry.endedAt = perSecond === undefined ? now : undefined;
			count +=
				(before === undefined ? 1 : 0) - (perSecond === undefined ? 1 : 0);
			return {entry, before};
		},
		recordPeerBroadcast(incarnationId, perSecond, now) {
			const entry = entries.get(incarnationId);
			if (!entry || entry.perSecond !== perSecond) {
				return;
			}

			entry.lastBroadcastAt = now;
			entry.hasPendingChange = false;
		},
		incarnationIds: () => entries.keys().toArray(),
		limitedCount: () => count,
		removeExpired(now) {
			for (const [incarnationId, entry] of entries) {
				if (isExpired(entry, now)) {
					remove(incarnationId);
				}
			}
		},
	};
};
