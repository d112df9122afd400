import type {StatedLoad} from '../backends/stated-load.ts';
import type {LimitStatement} from '../backend-limits/index.ts';

/**
Statements of a backend server about itself in one response.
*/
export type ServerStatements = {
	/**
	Whether the server is shutting down and must not receive new requests.
	*/
	readonly isLeaving: boolean;
	/**
	Time for which the server requests to receive nothing from this node, in milliseconds.
	*/
	readonly backoffMs: number | undefined;
	/**
	Rate limit of the server for all nodes together; undefined if the response neither sets nor ends one.
	*/
	readonly limit: LimitStatement | undefined;
	/**
	How many refusals a second the server survives; undefined if the response says neither that there is a limit nor that there is none.
	*/
	readonly refusalLimit: RefusalLimitStatement | undefined;
	readonly load: StatedLoad | undefined;
	/**
	Remaining time for which the server is cold, in milliseconds.
	*/
	readonly coldMs: number | undefined;
};

/**
Statement of a backend server that fails when it has to refuse too many requests.
*/
export type RefusalLimitStatement = {
	/**
	Refusals per second for lack of capacity beyond which the server fails; undefined if it states no limit.
	*/
	readonly perSecond: number | undefined;
};

/**
Statements of a response that states nothing.
*/
export const noStatements: ServerStatements = {
	isLeaving: false,
	backoffMs: undefined,
	limit: undefined,
	refusalLimit: undefined,
	load: undefined,
	coldMs: undefined,
};

/**
A statement that cannot be parsed.
*/
export type StatementFault = {
	readonly kind:
		'leaving' | 'rest' | 'limit' | 'refusal-limit' | 'load' | 'cold';
	/**
	Describes the received value and the expected one.
	*/
	readonly reason: string;
};
