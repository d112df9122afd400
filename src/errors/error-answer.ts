import {answerTable} from './answer-table.ts';
import type {GatewayError} from './gateway-error.ts';

/**
HTTP response to an error: status, headers and JSON body.
*/
export type RenderedError = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
};

/**
 Renders an error as an HTTP response.

 The body has the structure that OpenAI clients expect (`error.message`, `error.type`,
 `error.code`), plus the outcome and the request id.
 */
export const renderError = (
	error: GatewayError,
	requestId?: string,
): RenderedError => ({
	status: answerTable[error.kind].status,
	headers: errorHeaders(error, requestId),
	body: JSON.stringify(errorBody(error, requestId)),
});

/**
Returns the JSON body of an error. It is also the data of the final event of a broken stream.
*/
export const errorBody = (error: GatewayError, requestId?: string) => ({
	error: {
		message: error.message,
		type: error.kind,
		code: error.kind,
		param: undefined,
		outcome: error.outcome,
		requestId,
		retryAfterSeconds: error.retryAfterSeconds,
		entryVms: error.entryVms,
	},
});

const errorHeaders = (
	{outcome, retryAfterSeconds}: GatewayError,
	requestId?: string,
): Readonly<Record<string, string>> => ({
	'content-type': 'application/json',
	'x-quillford-outcome': outcome,
	// Client libraries may retry automatically only if the request is known not to have run.
	'x-should-retry': String(
		outcome === 'not-run' && retryAfterSeconds !== undefined,
	),
	...(retryAfterSeconds !== undefined && {
		'retry-after': String(Math.ceil(retryAfterSeconds)),
	}),
	...(requestId !== undefined && {'x-request-id': requestId}),
});
