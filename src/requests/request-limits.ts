import type {Result} from 'true-myth';
import {
	readLimitStatement,
	type BackendLimits,
} from '../backend-limits/index.ts';
import type {BackendServer} from '../configuration/index.ts';
import {firstOf, limitHeader, type UpstreamAnswer} from '../engines/index.ts';
import type {Fleet} from '../fleet/index.ts';
import type {AttemptFailure} from '../retries/index.ts';
import {engineLife} from './request-quarantine.ts';

type Engine = Pick<BackendServer, 'id'>;

/**
Keeps the attempts of requests within the limits that engines name.
*/
export type RequestLimits = {
	hasRoom(server: Engine, now: number): boolean;
	/**
	Requests a second that this node may send to a server; undefined where the server has no limit.
	*/
	rateOf(server: Engine): number | undefined;
	/**
	Milliseconds between two readings of a server's load by one node; 0 where it has no limit.
	*/
	readingPauseMs(server: Engine): number;
	sent(server: Engine, now: number): void;
	/**
	An attempt that was sent at a time has been answered, or has failed.
	*/
	answered(
		server: Engine,
		answer: Result<UpstreamAnswer, AttemptFailure>,
		sentAt: number,
		now: number,
	): void;
};

/**
Builds the view that attempts have of the limits.
*/
export const createRequestLimits = (
	limits: BackendLimits,
	fleet: Pick<Fleet, 'incarnationOf'>,
): RequestLimits => {
	const lifeOf = ({id}: Engine) => engineLife(id, fleet.incarnationOf(id));

	return {
		hasRoom: (server, now) =>
			!limits.areThere() || limits.hasRoom(lifeOf(server), now),
		rateOf: (server) =>
			limits.areThere() ? limits.rateOf(lifeOf(server)) : undefined,
		readingPauseMs: (server) => limits.readingPauseMs(lifeOf(server)),
		sent(server, now) {
			limits.sent(lifeOf(server), now);
		},
		answered(server, answer, sentAt, now) {
			const text = answer.isOk
				? firstOf(answer.value.headers[limitHeader])
				: answer.error.statedLimit;
			// A failure without a limit does not end one: only a server at work shows that.
			if (text === undefined && answer.isErr) {
				return;
			}

			const statement = readLimitStatement(text, sentAt, now);
			if (statement.isOk) {
				limits.stated(lifeOf(server), statement.value, 'answer');
			}
		},
	};
};
