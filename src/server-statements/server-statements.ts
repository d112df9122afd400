import type {StatedLoad} from '../backends/stated-load.ts';
import type {LimitStatement} from '../backend-limits/index.ts';

/**
What a backend server states about itself in one answer.
*/
export type ServerStatements = {
	/**
	It is shutting down and must not receive new requests.
	*/
	readonly isLeaving: boolean;
	/**
	How long it wants no requests from this node, in milliseconds.
	*/
	readonly backoffMs: number | undefined;
	/**
	Its rate limit over all nodes; undefined where the answer neither sets nor ends one.
	*/
	readonly limit: LimitStatement | undefined;
	readonly load: StatedLoad | undefined;
	/**
	How much longer it is cold, in milliseconds.
	*/
	readonly coldMs: number | undefined;
};

/**
An answer that states nothing.
*/
export const noStatements: ServerStatements = {
	isLeaving: false,
	backoffMs: undefined,
	limit: undefined,
	load: undefined,
	coldMs: undefined,
};

/**
A statement that cannot be read.
*/
export type StatementFault = {
	readonly kind: 'leaving' | 'rest' | 'limit' | 'load' | 'cold';
	/**
	Names the value received and what was expected.
	*/
	readonly reason: string;
};
