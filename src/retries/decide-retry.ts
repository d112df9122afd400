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
	What the failure proves about whether the backend server ran the attempt.
	*/
	readonly outcome: Outcome;
	readonly error: GatewayError;

	/**
	Whether the server or node stated the failure itself; false if the connection failed.
	*/
	readonly isStated: boolean;
	/**
	Whether the attempt was withdrawn before anything was sent.
	*/
	readonly isWithdrawn?: boolean;
};

/**
State of a request after a failed attempt.
*/
export type RetryContext = {
	readonly failure: AttemptFailure;
	readonly isRepeatable: boolean;
	/**
	Whether any byte of the response has been sent to the caller.
	*/
	readonly hasDelivered: boolean;
	/**
	Whether the response can be resumed after a number of tokens.
	*/
	readonly isResumable: boolean;
	readonly attempts: number;
	readonly maximumAttempts: number;
	/**
	Milliseconds remaining until the deadline.
	*/
	readonly remainingMs: number;

	/**
	Whether the retry budget allows another retry.
	*/
	readonly hasBudget: boolean;
};

/**
Action to take after a failed attempt.
*/
export type RetryDecision =
	| {readonly kind: 'retry'}
	| {readonly kind: 'resume'}
	| {readonly kind: 'give-up'; readonly error: GatewayError};

/**
Minimum remaining time before the deadline for another attempt, in milliseconds.
*/
export const minimumAttemptMs = 20;

/**
 Decides whether to make another attempt. Only the node that received the request from the caller calls this.
 */
export const decideRetry = (context: RetryContext): RetryDecision => {
	const {failure, isRepeatable, hasDelivered, isResumable} = context;
	if (!isRepeatable && failure.outcome !== 'not-run') {
		return giveUp(outcomeUnknown(failure));
	}

	if (hasDelivered && !isResumable) {
		return giveUp(
			createGatewayError(
				'stream-broken',
				`The answer broke off: ${failure.error.message}`,
			),
		);
	}

	if (context.remainingMs < minimumAttemptMs) {
		return giveUp(deadlineExceeded(failure));
	}

	return context.attempts >= context.maximumAttempts || !context.hasBudget
		? giveUp(failure.error)
		: {kind: hasDelivered ? 'resume' : 'retry'};
};

const giveUp = (error: GatewayError): RetryDecision => ({
	kind: 'give-up',
	error,
});

const outcomeUnknown = (failure: AttemptFailure): GatewayError =>
	createGatewayError(
		'outcome-unknown',
		`The request may or may not have run and may not be repeated: ${failure.error.message}`,
		{outcome: failure.outcome},
	);

const deadlineExceeded = (failure: AttemptFailure): GatewayError =>
	createGatewayError(
		'deadline-exceeded',
		`No time is left for another attempt: ${failure.error.message}`,
		{
			outcome: failure.outcome,
		},
	);
