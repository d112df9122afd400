import type {UpstreamAnswer} from '../engines/index.ts';
import type {Outcome} from '../errors/index.ts';
import type {AttemptEnd} from '../fleet/index.ts';
import type {TargetChoice} from './target-choice.ts';
import type {GatewayRequest} from './gateway-request.ts';

/**
A target that an attempt can be made at.
*/
export type AttemptTarget = Extract<
	TargetChoice,
	{kind: 'backend-server' | 'peer'}
>;

/**
An attempt whose answer has begun.
*/
export type OpenAttempt = {
	readonly attemptId: string;
	readonly target: AttemptTarget;
	readonly upstream: UpstreamAnswer;
	readonly startedAt: number;
	readonly abort: AbortController;
	/**
	Ends the attempt in the books; only the first call counts.
	*/
	readonly finish: (end: AttemptEnd) => void;
};

/**
What one attempt is to do.
*/
export type AttemptPlan = {
	readonly request: GatewayRequest;
	readonly progress: Progress;
	readonly target: AttemptTarget;
	readonly attemptId: string;
	readonly resumeFrom: number;
};

/**
What one request has been through; shared by its attempts.
*/
export type Progress = {
	attempts: number;
	/**
	The gravest thing that any attempt so far may have led to.
	*/
	outcome: Outcome;
	readonly excluded: Set<string>;
	readonly isForwarded: boolean;
};

/**
The id of the server or node that an attempt goes to.
*/
export const targetId = (target: AttemptTarget): string =>
	target.kind === 'peer' ? target.member.id : target.server.id;
