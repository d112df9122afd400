import type {Logger} from '../logging/index.ts';
import type {RefusalLimitMessage} from '../peers/refusal-limit-messages.ts';
import type {NodeOrder} from '../shared/index.ts';
import type {RefusalLimitStatement} from './server-statements.ts';
import type {StatementOrigin} from './statement-handler.ts';

/**
Limits on refusals that the backend servers of this region state, by service. A limit that one server of a service states applies to
all of them, also to those that have not answered yet.
*/
export type RefusalLimits = {
	/**
	Records what a server of a service stated in a response.
	*/
	recordStatement(
		service: string,
		origin: StatementOrigin,
		statement: RefusalLimitStatement,
	): void;
	/**
	Processes the limits that another node broadcast.
	*/
	receive(message: RefusalLimitMessage, now: number): void;
	/**
	Returns how many requests a second each server of a service may refuse without failing; undefined if it has no limit.
	*/
	perSecondOf(service: string): number | undefined;
	/**
	Returns the services that have a limit.
	*/
	services(): readonly string[];
	/**
	Ends limits and broadcasts those that are due; called at each tick.
	*/
	tick(now: number): void;
};

/**
Options of `createRefusalLimits`.
*/
export type RefusalLimitsOptions = {
	readonly self: string;
	readonly order: NodeOrder;
	/**
	Sends a message to all other nodes of the region.
	*/
	readonly sendToPeers: (message: RefusalLimitMessage) => void;
	readonly logger: Logger;
};

/**
Time without a statement after which a response without one ends the limit, in milliseconds. Servers of a service do not change
their statements at the same moment.
*/
export const statementGapMs = 3000;

/**
Time after which a limit ends if no server of the service responds at all, in milliseconds.
*/
export const refusalLimitRetentionMs = 60_000;

/**
Interval at which the nodes together broadcast a limit, in milliseconds.
*/
export const refusalBroadcastIntervalMs = 2000;

/**
Additional delay of each further node in rendezvous order before it broadcasts instead, in milliseconds.
*/
export const refusalFailoverMs = 200;

// Rank from which the delay does not increase any further.
const maximumFailoverRank = 10;

// Time in which the lowest of several stated limits applies, in milliseconds: responses arrive out of order.
const lowestLimitMs = 1000;

/**
Maximum number of services with a limit; the oldest is evicted first.
*/
export const maximumRefusalLimits = 500;

type Entry = {
	perSecond: number;
	/**
	When a server last stated a limit, to this node or to another one.
	*/
	statedAt: number;
	/**
	When a server last stated a limit to this node.
	*/
	statedHereAt: number;
	broadcastAt: number;
	/**
	Set once a response without a limit was sent long enough after the last statement.
	*/
	hasEnded: boolean;
};

/**
Creates an empty set of limits.
*/
export const createRefusalLimits = ({
	self,
	order,
	sendToPeers,
	logger,
}: RefusalLimitsOptions): RefusalLimits => {
	const entries = new Map<string, Entry>();

	const record = (
		service: string,
		perSecond: number,
		statedAt: number,
		fields: Readonly<Record<string, string | number>>,
	): Entry => {
		const known = entries.get(service);
		if (!known) {
			const entry: Entry = {
				perSecond,
				statedAt,
				statedHereAt: -Infinity,
				broadcastAt: -Infinity,
				hasEnded: false,
			};
			entries.set(service, entry);
			if (entries.size > maximumRefusalLimits) {
				entries.delete(entries.keys().next().value!);
			}

			logger.info(
				{service, perSecond, ...fields},
				'backend servers state a limit on refusals',
			);
			return entry;
		}

		const isRecent = statedAt - known.statedAt < lowestLimitMs;
		known.perSecond = isRecent
			? Math.min(known.perSecond, perSecond)
			: perSecond;
		known.statedAt = Math.max(known.statedAt, statedAt);
		known.hasEnded = false;
		return known;
	};

	const isBroadcastDue = (
		service: string,
		{statedHereAt, broadcastAt}: Entry,
		now: number,
	): boolean =>
		now - statedHereAt < refusalBroadcastIntervalMs &&
		now - broadcastAt >=
			(broadcastAt === -Infinity ? 0 : refusalBroadcastIntervalMs) +
				Math.min(maximumFailoverRank, order.rank(service)) * refusalFailoverMs;

	return {
		recordStatement(service, {server, source, sentAt, receivedAt}, statement) {
			const {perSecond} = statement;
			if (perSecond !== undefined) {
				const ageMs = Math.round(receivedAt - sentAt);
				const fields = {server, source, ageMs};
				const entry = record(service, perSecond, receivedAt, fields);
				entry.statedHereAt = receivedAt;
				return;
			}

			const entry = entries.get(service);
			if (entry && sentAt - entry.statedAt > statementGapMs) {
				entry.hasEnded = true;
			}
		},
		receive({from, limits}, now) {
			for (const {service, perSecond, agoMs} of limits) {
				const fields = {source: 'node', from, ageMs: agoMs};
				const entry = record(service, perSecond, now - agoMs, fields);
				entry.broadcastAt = now;
			}
		},
		perSecondOf: (service) => entries.get(service)?.perSecond,
		services: () => entries.keys().toArray(),
		tick(now) {
			for (const [service, {hasEnded, statedAt}] of entries) {
				if (!hasEnded && now - statedAt <= refusalLimitRetentionMs) {
					continue;
				}

				entries.delete(service);
				logger.info(
					{service, ageMs: Math.round(now - statedAt)},
					'backend servers no longer state a limit on refusals',
				);
			}

			const due = [...entries].filter(([service, entry]) =>
				isBroadcastDue(service, entry, now),
			);
			if (due.length === 0) {
				return;
			}

			for (const [, entry] of due) {
				entry.broadcastAt = now;
			}

			sendToPeers({
				kind: 'refusal-limits',
				from: self,
				limits: due.map(([service, {perSecond, statedHereAt}]) => ({
					service,
					perSecond,
					agoMs: Math.max(0, now - statedHereAt),
				})),
			});
		},
	};
};
