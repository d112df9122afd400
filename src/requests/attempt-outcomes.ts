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
The graver of two outcomes: what may have happened over both attempts.
*/
export const worstOutcome = (left: Outcome, right: Outcome): Outcome =>
	outcomeRank[right] > outcomeRank[left] ? right : left;

/**
An error that claims no less than what the attempts before it may have done.
*/
export const withOutcome = (
	error: GatewayError,
	outcome: Outcome,
): GatewayError => ({
	...error,
	outcome: worstOutcome(outcome, error.outcome),
});

/**
Every slot is taken.
*/
export const overloadedError = (retryAfterSeconds: number): GatewayError =>
	createGatewayError(
		'overloaded',
		'Every slot that could serve the request is taken; come back later',
		{
			retryAfterSeconds,
		},
	);

/**
The answer to an attempt did not arrive whole, or was not its own.
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
The backend server answered that it failed.
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
How a failure is entered in the fleet's books.
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
