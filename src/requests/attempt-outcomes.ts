import {
	createGatewayError,
	type GatewayError,
	type Outcome,
} from '../errors/index.ts';
import type {AttemptEnd} from '../fleet/index.ts';
import type {AttemptFailure} from '../retries/index.ts';

const outcomeRank: Readonly<Record<Outcome, number>> = {
	'not-run': 0,
	unknown: 1,
	ran: 2,
};

/**
Returns the worse of two outcomes; `ran` is worse than `unknown`, which is worse than `not-run`.
*/
export const worstOutcome = (left: Outcome, right: Outcome): Outcome =>
	outcomeRank[right] > outcomeRank[left] ? right : left;

/**
Raises the outcome of an error to that of the earlier attempts, so that the error never claims
`not-run` after an attempt that may have run.
*/
export const withOutcome = (
	error: GatewayError,
	outcome: Outcome,
): GatewayError => ({
	...error,
	outcome: worstOutcome(outcome, error.outcome),
});

/**
Error for a request that finds no free slot.
*/
export const overloadedError = (retryAfterSeconds: number): GatewayError =>
	createGatewayError(
		'overloaded',
		'All slots that can serve the request are in use; retry later',
		{
			retryAfterSeconds,
		},
	);

/**
Failure of an attempt whose response was incomplete or belonged to another attempt.
*/
export const brokenAnswerFailure = (error: Error): AttemptFailure => ({
	outcome: 'unknown',
	isStated: false,
	error: createGatewayError(
		'attempt-failed',
		`The answer broke off (${error.message})`,
	),
});

/**
Failure of an attempt to resume a stream at a server whose software differs from the one that began it.
*/
export const otherVersionFailure = (): AttemptFailure => ({
	outcome: 'ran',
	isStated: true,
	error: createGatewayError(
		'attempt-failed',
		'The backend server has another software version than the one that began the stream',
	),
});

/**
Failure of an attempt that the backend server answered with a server error.
*/
export const serverErrorFailure = (status: number): AttemptFailure => ({
	outcome: 'unknown',
	isStated: true,
	error: createGatewayError(
		'attempt-failed',
		`The backend server failed with status ${status}`,
	),
});

/**
Maps a failure to the attempt end that the fleet records.
*/
export const attemptEndOf = (
	failure: AttemptFailure,
	isCanceled: boolean,
): AttemptEnd => {
	if (isCanceled) {
		return 'canceled';
	}

	if (failure.outcome === 'not-run') {
		return failure.error.kind === 'overloaded' ? 'refused' : 'unreachable';
	}

	return 'failed';
};
