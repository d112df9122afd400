import type {ErrorKind, Outcome} from './error-kind.ts';
import {answerTable} from './answer-table.ts';

/**
An error as it travels through the gateway until it becomes an answer.
*/
export type GatewayError = {
	readonly kind: ErrorKind;
	/**
	What happened and how to mend it, for the caller to read.
	*/
	readonly message: string;
	readonly outcome: Outcome;
	/**
	Seconds after which coming back is worthwhile; left out where it does not help.
	*/
	readonly retryAfterSeconds?: number;
	/**
	Base addresses of entry VMs that can be tried in place of this one.
	*/
	readonly entryVms?: readonly string[];
};

/**
What may be stated about an error beyond its kind and message.
*/
export type GatewayErrorOptions = Partial<
	Omit<GatewayError, 'kind' | 'message'>
>;

/**
 Builds an error; what is not stated comes from the answer table.
 
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
