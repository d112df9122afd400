import {checkNonNegative, checkString} from './tuple-checks.ts';

/**
The request rate limit of one backend server, as sent between nodes.
*/
export type LimitUpdate = {
	/**
	Identifies one incarnation of the server.
	*/
	readonly incarnationId: string;
	/**
	Requests per second that the server accepts from all nodes together; undefined once the limit has been lifted.
	*/
	readonly perSecond: number | undefined;
	/**
	Milliseconds since the earliest time at which the server can have stated the limit. Ages are sent instead of
	timestamps because the clocks of nodes differ.
	*/
	readonly earliestAgoMs: number;
	/**
	Milliseconds since the latest time at which the server can have stated the limit.
	*/
	readonly latestAgoMs: number;
};

/**
Limits stated by backend servers, as sent between nodes.
*/
export type BackendLimitMessage = {
	readonly kind: 'backend-limits';
	/**
	Id of the sending node.
	*/
	readonly from: string;
	readonly limits: readonly LimitUpdate[];
};

type Row = readonly unknown[];

// Encodes "no limit" on the wire.
const noLimit = 'none';

/**
Encodes a message as one row per server; each row can be decoded on its own.
*/
export const encodeBackendLimitRows = ({
	limits,
}: BackendLimitMessage): readonly Row[] =>
	limits.map(({incarnationId, perSecond, earliestAgoMs, latestAgoMs}) => [
		incarnationId,
		perSecond ?? noLimit,
		Math.round(earliestAgoMs),
		Math.round(latestAgoMs),
	]);

/**
Decodes rows.

@throws {TypeError} If a row is malformed.
*/
export const decodeBackendLimitRows = (
	from: string,
	rows: readonly Row[],
): BackendLimitMessage => ({
	kind: 'backend-limits',
	from,
	limits: rows.map(
		([incarnationId, perSecond, earliestAgoMs, latestAgoMs]) => ({
			incarnationId: checkString(incarnationId),
			perSecond:
				perSecond === noLimit ? undefined : checkNonNegative(perSecond),
			earliestAgoMs: checkNonNegative(earliestAgoMs),
			latestAgoMs: checkNonNegative(latestAgoMs),
		}),
	),
});
