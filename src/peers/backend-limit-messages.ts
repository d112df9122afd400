import {checkCount, checkText} from './tuple-checks.ts';

/**
The limit of one backend server, as one node tells another.
*/
export type LimitUpdate = {
	/**
	Names the life of the server.
	*/
	readonly incarnationId: string;
	/**
	Requests a second that it takes from all nodes; undefined where its limit has ended.
	*/
	readonly perSecond: number | undefined;
	/**
	The server said so between these moments, told as milliseconds since them, for clocks differ.
	*/
	readonly earliestAgoMs: number;
	readonly latestAgoMs: number;
};

/**
What nodes tell each other of limits that backend servers name.
*/
export type BackendLimitMessage = {
	readonly kind: 'backend-limits';
	/**
	Id of the node that tells.
	*/
	readonly from: string;
	readonly limits: readonly LimitUpdate[];
};

type Row = readonly unknown[];

// Stands for no limit on the wire.
const ended = 'none';

/**
The rows of a message, one a server; each can be read alone.
*/
export const backendLimitRows = ({
	limits,
}: BackendLimitMessage): readonly Row[] =>
	limits.map(({incarnationId, perSecond, earliestAgoMs, latestAgoMs}) => [
		incarnationId,
		perSecond ?? ended,
		Math.round(earliestAgoMs),
		Math.round(latestAgoMs),
	]);

/**
Reads rows; throws where they are of another form.
*/
export const readBackendLimitRows = (
	from: string,
	rows: readonly Row[],
): BackendLimitMessage => ({
	kind: 'backend-limits',
	from,
	limits: rows.map(
		([incarnationId, perSecond, earliestAgoMs, latestAgoMs]) => ({
			incarnationId: checkText(incarnationId),
			perSecond: perSecond === ended ? undefined : checkCount(perSecond),
			earliestAgoMs: checkCount(earliestAgoMs),
			latestAgoMs: checkCount(latestAgoMs),
		}),
	),
});
