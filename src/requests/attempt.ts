import type {UpstreamAnswer} from '../engines/index.ts';
import type {Outcome} from '../errors/index.ts';
import type {AttemptEnd} from '../fleet/index.ts';
import type {TargetChoice} from './target-choice.ts';
import type {GatewayRequest} from './gateway-request.ts';

/**
Maximum attempts for one request, the first one included.
*/
export const maximumAttempts = 4;

/**
A backend server or node that an attempt can be sent to.
*/
export type AttemptTarget = Extract<
	TargetChoice,
	{kind: 'backend-server' | 'peer'}
>;

/**
An attempt whose response head has arrived.
*/
export type OpenAttempt = {
	readonly attemptId: string;
	readonly target: AttemptTarget;
	readonly upstream: UpstreamAnswer;
	readonly startedAt: number;
	readonly abort: AbortController;
	/**
	Records the end of the attempt; calls after the first have no effect.
	*/
	readonly finish: (end: AttemptEnd) => void;
};

/**
Parameters of one attempt.
*/
export type AttemptPlan = {
	readonly request: GatewayRequest;
	readonly progress: Progress;
	readonly target: AttemptTarget;
	readonly attemptId: string;
	readonly resumeFrom: number;
	/**
	Cancels the attempt for a reason that is unrelated to its target.
	*/
	readonly cancellation?: AbortSignal;
};

/**
State of one request that its attempts share.
*/
export type Progress = {
	attempts: number;
	/**
	Worst outcome of all attempts so far.
	*/
	outcome: Outcome;
	readonly excluded: Set<string>;
	/**
	Version of the software that began the stream, if its server states one.
	*/
	softwareVersion?: string | undefined;
	readonly isForwarded: boolean;
};

/**
Returns the id of the server or node that an attempt is sent to.
*/
export const targetId = (target: AttemptTarget): string =>
	target.kind === 'peer' ? target.member.id : target.server.id;
