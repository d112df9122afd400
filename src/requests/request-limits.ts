import type {BackendLimits} from '../backend-limits/index.ts';
import type {BackendServer} from '../configuration/index.ts';
import type {Fleet} from '../fleet/index.ts';
import {engineIncarnationId} from './request-quarantine.ts';

type Engine = Pick<BackendServer, 'id'>;

/**
Keeps the attempts of requests within the limits that engines name.
*/
export type RequestLimits = {
	canSend(server: Engine, now: number): boolean;
	/**
	Requests a second that this node may send to a server; undefined where the server has no limit.
	*/
	rateOf(server: Engine): number | undefined;
	/**
	Milliseconds between two readings of a server's load by one node; 0 where it has no limit.
	*/
	enginePollIntervalMs(server: Engine): number;
	recordSent(server: Engine, now: number): void;
};

/**
Builds the view that attempts have of the limits.
*/
export const createRequestLimits = (
	limits: BackendLimits,
	fleet: Pick<Fleet, 'incarnationOf'>,
): RequestLimits => {
	const lifeOf = ({id}: Engine) =>
		engineIncarnationId(id, fleet.incarnationOf(id));

	return {
		canSend: (server, now) =>
			!limits.hasAny() || limits.canSend(lifeOf(server), now),
		rateOf: (server) =>
			limits.hasAny() ? limits.rateOf(lifeOf(server)) : undefined,
		enginePollIntervalMs: (server) =>
			limits.enginePollIntervalMs(lifeOf(server)),
		recordSent(server, now) {
			limits.recordSend(lifeOf(server), now);
		},
	};
};
