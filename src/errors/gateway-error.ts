import type {ErrorKind, Outcome} from './error-kind.ts';
import {answerTable} from './answer-table.ts';

/**
An error inside the gateway, before it is rendered as an HTTP response.
*/
export type GatewayError = {
	readonly kind: ErrorKind;
	/**
	Describes to the caller what happened and how to fix it.
	*/
	readonly message: string;
	readonly outcome: Outcome;
	/**
	Seconds after which a retry is useful; omitted if a retry does not help.
	*/
	readonly retryAfterSeconds?: number;
	/**
	Base addresses of alternative entry VMs.
	*/
	readonly entryVms?: readonly string[];
};

/**
Optional fields of an error that override the defaults of its kind.
*/
export type GatewayErrorOptions = Partial<
	Omit<GatewayError, 'kind' | 'message'>
>;

/**
 Creates an error. The outcome and the retry time default to those of its kind in the answer table.
 
 @example
 createGatewayError('unknown-model', 'No service offers model "x"; see GET /v1/models');
 */
export const createGatewayError = (
	kind: ErrorKind,
	message: string,
	options: GatewayErrorOptions = {},
): GatewayError => {
	const answer = answerTable[kind];
	return {
		kind,
		message,
		outcome: options.outcome ?? answer.outcome,
		retryAfterSeconds: options.retryAfterSeconds ?? answer.retryAfterSeconds,
		entryVms: options.entryVms,
	};
};
