/**
The closed list of reasons for which a request is not answered with a result.
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
One reason from the closed list.
*/
export type ErrorKind = (typeof errorKinds)[number];

/**
 Whether a request was run by a backend server.
 
 `not-run` is only ever claimed with evidence; without evidence either way the
 outcome is `unknown`.
 */
export type Outcome = 'ran' | 'not-run' | 'unknown';
