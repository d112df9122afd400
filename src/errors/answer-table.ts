import type {ErrorKind, Outcome} from './error-kind.ts';

/**
HTTP response to an error kind.
*/
export type ErrorAnswer = {
	readonly status: number;
	/**
	Default outcome, if the error has none of its own.
	*/
	readonly outcome: Outcome;
	/**
	Default value of `Retry-After` in seconds, if the error has none of its own.
	*/
	readonly retryAfterSeconds?: number;
};

/**
Maps each error kind to its HTTP response.
*/
export const answerTable: Readonly<Record<ErrorKind, ErrorAnswer>> = {
	'bad-request': {status: 400, outcome: 'not-run'},
	unauthenticated: {status: 401, outcome: 'not-run'},
	'unknown-model': {status: 404, outcome: 'not-run'},
	'unknown-path': {status: 404, outcome: 'not-run'},
	'body-too-large': {status: 413, outcome: 'not-run'},
	'headers-too-large': {status: 431, outcome: 'not-run'},
	'labels-too-large': {status: 431, outcome: 'not-run'},
	'residency-invalid': {status: 403, outcome: 'not-run'},
	'residency-unavailable': {
		status: 503,
		outcome: 'not-run',
		retryAfterSeconds: 5,
	},
	'limit-exceeded': {status: 429, outcome: 'not-run', retryAfterSeconds: 1},
	quarantined: {status: 503, outcome: 'not-run'},
	overloaded: {status: 503, outcome: 'not-run', retryAfterSeconds: 1},
	'no-candidate': {status: 503, outcome: 'not-run', retryAfterSeconds: 5},
	'not-resumable': {status: 503, outcome: 'not-run'},
	'deadline-exceeded': {status: 504, outcome: 'unknown'},
	leaving: {status: 503, outcome: 'not-run', retryAfterSeconds: 0},
	'not-ready': {status: 503, outcome: 'not-run', retryAfterSeconds: 1},
	'permit-conflict': {status: 409, outcome: 'not-run'},
	'outcome-unknown': {status: 502, outcome: 'unknown'},
	'answer-not-kept': {status: 409, outcome: 'ran'},
	'attempt-failed': {status: 502, outcome: 'unknown', retryAfterSeconds: 1},
	'stream-broken': {status: 502, outcome: 'ran'},
	'hop-refused': {status: 508, outcome: 'not-run'},
	canceled: {status: 499, outcome: 'unknown'},
	internal: {status: 500, outcome: 'unknown'},
};
