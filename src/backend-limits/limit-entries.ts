import {
	addStatement,
	lowestStatement,
	type LimitStatement,
	type LimitStatements,
} from './limit-statement.ts';
import {createTokenBucket, type TokenBucket} from './token-bucket.ts';

/**
What is known of the limit of one server.
*/
export type LimitEntry = {
	statements: LimitStatements;
	/**
	The limit that holds; undefined where it has ended.
	*/
	perSecond: number | undefined;
	readonly bucket: TokenBucket;
	/**
	Requests of this node since the limit changed last.
	*/
	sentSinceChange: number;
	/**
	When this node or another one told the others last.
	*/
	lastBroadcastAt: number;
	/**
	Whether the server has told this node of a change that the others may not know.
	*/
	hasPendingChange: boolean;
	endedAt: number | undefined;
};

/**
What is known of the limits of servers, by the names of their lives.
*/
export type LimitEntries = {
	get(life: string): LimitEntry | undefined;
	/**
	Takes a statement in; undefined where the limit is the same as before.
	*/
	record(
		life: string,
		given: LimitStatement,
		now: number,
	):
		| {readonly entry: LimitEntry; readonly before: number | undefined}
		| undefined;
	/**
	Another node has told the others of a limit. Where this one knows better the others are still to be told.
	*/
	recordPeerBroadcast(
		life: string,
		perSecond: number | undefined,
		now: number,
	): void;
	incarnationIds(): readonly string[];
	/**
	Servers that have a limit now.
	*/
	limitedCount(): number;
	removeExpired(now: number): void;
};

/**
A limit that has ended is remembered for so long, in milliseconds, so that nodes that missed its end are told.
*/
export const endedLimitRetentionMs = 20_000;

/**
Retention of a limit without updates, in milliseconds. Longer than a live server needs to state it again.
*/
export const silentLimitRetentionMs = 600_000;

/**
Servers that are remembered at the most; the one that was heard of first gives way.
*/
export const maximumLimitedServers = 2000;

/**
Builds entries of no server.
*/
export const createLimitEntries = (): LimitEntries => {
	const entries = new Map<string, LimitEntry>();
	let limited = 0;

	const remove = (life: string) => {
		limited -= entries.get(life)?.perSecond === undefined ? 0 : 1;
		entries.delete(life);
	};

	const open = (life: string, now: number): LimitEntry => {
		const known = entries.get(life);
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
		entries.set(life, entry);
		return entry;
	};

	const isOld = ({endedAt, statements}: LimitEntry, now: number): boolean =>
		endedAt === undefined
			? now - (lowestStatement(statements)?.latest ?? now) >
				silentLimitRetentionMs
			: now - endedAt > endedLimitRetentionMs;

	return {
		get: (life) => entries.get(life),
		record(life, given, now) {
			// Most servers never name a limit, and nothing is kept of them.
			if (given.perSecond === undefined && !entries.has(life)) {
				return undefined;
			}

			const entry = open(life, now);
			entry.statements = addStatement(entry.statements, given);
			const before = entry.perSecond;
			const perSecond = lowestStatement(entry.statements)?.perSecond;
			if (perSecond === before) {
				return undefined;
			}

			entry.perSecond = perSecond;
			entry.endedAt = perSecond === undefined ? now : undefined;
			limited +=
				(before === undefined ? 1 : 0) - (perSecond === undefined ? 1 : 0);
			return {entry, before};
		},
		recordPeerBroadcast(life, perSecond, now) {
			const entry = entries.get(life);
			if (!entry || entry.perSecond !== perSecond) {
				return;
			}

			entry.lastBroadcastAt = now;
			entry.hasPendingChange = false;
		},
		incarnationIds: () => entries.keys().toArray(),
		limitedCount: () => limited,
		removeExpired(now) {
			for (const [life, entry] of entries) {
				if (isOld(entry, now)) {
					remove(life);
				}
			}
		},
	};
};
