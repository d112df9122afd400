/**
All kinds of error with which a request can fail.
*/
export const errorKinds = [
	'bad-request',
	'unauthenticated',
	'unknown-model',
	'unknown-path',
	'body-too-large',
	'headers-too-large',
	'labels-too-large',
	'residency-invalid',
	'residency-unavailable',
	'limit-exceeded',
	'overloaded',
	'quarantined',
	'no-candidate',
	'not-resumable',
	'deadline-exceeded',
	'leaving',
	'not-ready',
	'permit-conflict',
	'outcome-unknown',
	'answer-not-kept',
	'attempt-failed',
	'stream-broken',
	'hop-refused',
	'canceled',
	'internal',
] as const;

/**
One of `errorKinds`.
*/
export type ErrorKind = (typeof errorKinds)[number];

/**
 Whether a backend server ran a request.

 `not-run` is reported only with evidence. Without evidence either way, the
 outcome is `unknown`.
 */
export type Outcome = 'ran' | 'not-run' | 'unknown';
