import {
	createGatewayError,
	type GatewayError,
	type Outcome,
} from '../errors/index.ts';

/**
How one attempt failed.
*/
export type AttemptFailure = {
	/**
	What the failure proves about the backend server having run the attempt.
	*/
	readonly outcome: Outcome;
	readonly error: GatewayError;

	/**
	Whether the other side said so itself; false where the connection failed.
	*/
	readonly isStated: boolean;
	/**
	Whether nothing was sent, because it must not be any more.
	*/
	readonly isWithdrawn?: boolean;
};

/**
The state of a request when an attempt has failed.
*/
export type RetryContext = {
	readonly failure: AttemptFailure;
	readonly isRepeatable: boolean;
	/**
	Whether any byte of the answer has gone to the caller.
	*/
	readonly hasDelivered: boolean;
	/**
	Whether the answer can be taken up at a count of tokens.
	*/
	readonly isResumable: boolean;
	readonly attempts: number;
	readonly maximumAttempts: number;
	/**
	Milliseconds left until the deadline.
	*/
	readonly remainingMs: number;

	/**
	Whether the budget of retries holds another one.
	*/
	readonly hasBudget: boolean;
};

/**
What to do about a failed attempt.
*/
export type RetryDecision =
	| {readonly kind: 'retry'}
	| {readonly kind: 'resume'}
	| {readonly kind: 'give-up'; readonly error: GatewayError};

/**
Less time than this before the deadline is not worth another attempt.
*/
export const minimumAttemptMs = 20;

/**
 Decides about another attempt; only the node at which a request entered asks this.
 */
export const decideRetry = (question: RetryContext): RetryDecision => {
	const {failure, isRepeatable, hasDelivered, isResumable} = question;
	if (!isRepeatable && failure.outcome !== 'not-run') {
		return giveUp(unknownOutcome(failure));
	}

	if (hasDelivered && !isResumable) {
		return giveUp(
			createGatewayError(
				'stream-broken',
				`The answer broke off: ${failure.error.message}`,
			),
		);
	}

	if (question.remainingMs < minimumAttemptMs) {
		return giveUp(pastDeadline(failure));
	}

	return question.attempts >= question.maximumAttempts || !question.hasBudget
		? giveUp(failure.error)
		: {kind: hasDelivered ? 'resume' : 'retry'};
};

const giveUp = (error: GatewayError): RetryDecision => ({
	kind: 'give-up',
	error,
});

const unknownOutcome = (failure: AttemptFailure): GatewayError =>
	createGatewayError(
		'outcome-unknown',
		`The request may or may not have run and may not be repeated: ${failure.error.message}`,
		{outcome: failure.outcome},
	);

const pastDeadline = (failure: AttemptFailure): GatewayError =>
	createGatewayError(
		'deadline-exceeded',
		`No time is left for another attempt: ${failure.error.message}`,
		{
			outcome: failure.outcome,
		},
	);
