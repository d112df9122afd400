import type {Logger} from '../logging/index.ts';
import {createLimitLog, type LimitChange} from './limit-log.ts';
import {
	addStatement,
	lowestStatement,
	type LimitStatement,
	type LimitStatements,
} from './limit-statement.ts';

/**
The limits that backend servers name in their answers, each for all nodes together.
*/
export type ServerLimits = {
	/**
	An answer of a server named its limit, or none.

	@param life Names the life of the server.
	*/
	stated(
		life: string,
		statement: LimitStatement,
		source: Exclude<LimitChange['source'], 'node'>,
	): void;
	/**
	A request is sent to a server.
	*/
	sent(life: string, now: number): void;
	/**
	For metrics: servers that have a limit, and requests that were sent to them.
	*/
	limitedServers(): number;
	sentToLimited(): number;
};

/**
What limits are built from.
*/
export type ServerLimitsOptions = {readonly logger: Logger};

type Entry = {statements: LimitStatements; sent: number};

/**
Servers that are remembered at the most; the one that was heard of first gives way.
*/
export const maximumLimitedServers = 2000;

/**
Builds limits of which none is known.
*/
export const createServerLimits = ({
	logger,
}: ServerLimitsOptions): ServerLimits => {
	const entries = new Map<string, Entry>();
	const log = createLimitLog(logger);
	let sentToLimited = 0;

	const take = (
		life: string,
		given: LimitStatement,
		how: Pick<LimitChange, 'source' | 'from'>,
		now: number,
	) => {
		const known = entries.get(life);
		// Most servers never name a limit, and nothing is kept of them.
		if (!known && given.perSecond === undefined) {
			return;
		}

		const before = known && limitOf(known);
		const entry = known ?? {statements: [], sent: 0};
		entry.statements = addStatement(entry.statements, given);
		entries.set(life, entry);
		if (!known && entries.size > maximumLimitedServers) {
			entries.delete(entries.keys().next().value!);
		}

		const perSecond = limitOf(entry);
		if (perSecond === before) {
			return;
		}

		log.changed(
			{life, before, perSecond, ...how, ageMs: now - given.earliest},
			{sentBefore: entry.sent},
			now,
		);
		entry.sent = 0;
	};

	return {
		stated(life, statement, source) {
			take(life, statement, {source}, statement.latest);
		},
		sent(life) {
			const entry = entries.get(life);
			if (!entry) {
				return;
			}

			entry.sent += 1;
			sentToLimited += limitOf(entry) === undefined ? 0 : 1;
		},
		limitedServers: () =>
			entries
				.values()
				.filter((entry) => limitOf(entry) !== undefined)
				.toArray().length,
		sentToLimited: () => sentToLimited,
	};
};

const limitOf = ({statements}: Entry): number | undefined =>
	lowestStatement(statements)?.perSecond;
