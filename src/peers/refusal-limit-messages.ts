import {checkNonNegative, checkString} from './tuple-checks.ts';

/**
The limit on refusals that backend servers of one service state, as sent between nodes.
*/
export type RefusalLimitUpdate = {
	readonly service: string;
	/**
	Refusals per second beyond which a server fails.
	*/
	readonly perSecond: number;
	/**
	Milliseconds since a server last stated the limit. Ages are sent instead of timestamps because the clocks of nodes differ.
	*/
	readonly agoMs: number;
};

/**
Limits on refusals, as sent to the other nodes of the sender's region.
*/
export type RefusalLimitMessage = {
	readonly kind: 'refusal-limits';
	/**
	Id of the sending node.
	*/
	readonly from: string;
	readonly limits: readonly RefusalLimitUpdate[];
};

type Row = readonly unknown[];

/**
Encodes a message as one row per service; each row can be decoded on its own.
*/
export const encodeRefusalLimitRows = ({
	limits,
}: RefusalLimitMessage): readonly Row[] =>
	limits.map(({service, perSecond, agoMs}) => [
		service,
		perSecond,
		Math.round(agoMs),
	]);

/**
Decodes rows.

@throws {TypeError} If a row is malformed.
*/
export const decodeRefusalLimitRows = (
	from: string,
	rows: readonly Row[],
): RefusalLimitMessage => ({
	kind: 'refusal-limits',
	from,
	limits: rows.map(([service, perSecond, agoMs]) => ({
		service: checkString(service),
		perSecond: checkNonNegative(perSecond),
		agoMs: checkNonNegative(agoMs),
	})),
});
