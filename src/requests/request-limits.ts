import type {BackendLimits} from '../backend-limits/index.ts';
import type {BackendServer} from '../configuration/index.ts';
import type {Fleet} from '../fleet/index.ts';
import {engineIncarnationId} from './request-quarantine.ts';

type Engine = Pick<BackendServer, 'id'>;

/**
Keeps attempts within the rate limits that engines announce.
*/
export type RequestLimits = {
	canSend(server: Engine, now: number): boolean;
	/**
	Requests per second that this node may send to a server; undefined if the server has no limit.
	*/
	rateOf(server: Engine): number | undefined;
	/**
	Milliseconds between two polls of a server's load by one node; 0 if the server has no limit.
	*/
	enginePollIntervalMs(server: Engine): number;
	recordSent(server: Engine, now: number): void;
};

/**
Adapts the limits, which are kept per incarnation, to backend servers.
*/
export const createRequestLimits = (
	limits: BackendLimits,
	fleet: Pick<Fleet, 'incarnationOf'>,
): RequestLimits => {
	const incarnationIdOf = ({id}: Engine) =>
		engineIncarnationId(id, fleet.incarnationOf(id));

	return {
		canSend: (server, now) =>
			!limits.hasAny() || limits.canSend(incarnationIdOf(server), now),
		rateOf: (server) =>
			limits.hasAny() ? limits.rateOf(incarnationIdOf(server)) : undefined,
		enginePollIntervalMs: (server) =>
			limits.enginePollIntervalMs(incarnationIdOf(server)),
		recordSent(server, now) {
			limits.recordSend(incarnationIdOf(server), now);
		},
	};
};
