import {setTimeout as sleep} from 'node:timers/promises';
import {Result} from 'true-myth';
import type {BackendServer} from '../configuration/index.ts';
import type {EngineClient, UpstreamAnswer} from '../engines/index.ts';
import {createGatewayError, type GatewayError} from '../errors/index.ts';
import type {AttemptEnd, Fleet} from '../fleet/index.ts';
import type {Logger} from '../logging/index.ts';
import type {PeerCalls} from '../peers/index.ts';
import {crashReportWindowMs} from '../quarantine/index.ts';
import {
	decideRetry,
	type AttemptFailure,
	type RetryBudget,
} from '../retries/index.ts';
import {backendCall, forwardCall} from './attempt-calls.ts';
import {
	overloadedError,
	attemptEndOf,
	worstOutcome,
	withOutcome,
} from './attempt-outcomes.ts';
import {
	targetId,
	type AttemptPlan,
	type AttemptTarget,
	type OpenAttempt,
	type Progress,
} from './attempt.ts';
import type {CapacityQueue} from './capacity-queue.ts';
import type {TargetChooser} from './target-choice.ts';
import type {GatewayRequest} from './gateway-request.ts';
import type {RequestLimits} from './request-limits.ts';
import type {RequestStatements} from './request-statements.ts';
import {
	quarantinedError,
	type RequestQuarantine,
} from './request-quarantine.ts';

/**
What attempts are made with.
*/
export type AttemptOptions = {
	readonly clock: () => number;
	readonly chooser: TargetChooser;
	readonly fleet: Fleet;
	readonly engines: EngineClient;
	readonly peers: PeerCalls;
	readonly budget: RetryBudget;
	readonly capacity: CapacityQueue;
	readonly quarantine: RequestQuarantine;
	readonly limits: Pick<RequestLimits, 'recordSent'>;
	readonly statements: Pick<RequestStatements, 'recordAnswer'>;
	readonly issueAttemptId: () => string;

	/**
	Resolves at once, or after a pause of the process once the node is up to date again.
	*/
	readonly waitUntilUpToDate: () => Promise<void>;
	/**
	Whether the node knows what happened up to now; false after a pause until it has caught up.
	*/
	readonly isUpToDate: () => boolean;
	readonly logger: Logger;
};

/**
Makes attempts and judges their failures.
*/
export type Attempts = {
	/**
	Makes attempts until one has begun to answer, or there is no point in another.
	*/
	open(
		request: GatewayRequest,
		progress: Progress,
		resumeFrom: number,
	): Promise<Result<OpenAttempt, GatewayError>>;
	/**
	Chooses a target, waiting a short while for a free slot.
	*/
	acquire(
		request: GatewayRequest,
		progress: Progress,
	): Promise<Result<AttemptTarget, GatewayError>>;
	/**
	Makes one attempt.
	*/
	begin(plan: AttemptPlan): Promise<Result<OpenAttempt, AttemptFailure>>;
	/**
	Enters a failure; an error means that the request is given up.
	*/
	handleFailure(
		request: GatewayRequest,
		progress: Progress,
		failure: AttemptFailure,
		hasDelivered: boolean,
	): Result<true, GatewayError>;
	/**
	Tells the fleet how long the first token took.
	*/
	observeFirstToken(attempt: OpenAttempt): void;
};

/**
The most attempts for one request.
*/
export const maximumAttempts = 4;

/**
A stream without an event for this many milliseconds counts as broken.
*/
export const stallTimeoutMs = 5000;

const smallestAttemptMs = 500;

/**
Builds what makes attempts.
*/
export const createAttempts = (options: AttemptOptions): Attempts => {
	const {clock, fleet} = options;

	// Opens attempts until one has begun to answer.
	const open = async (
		request: GatewayRequest,
		progress: Progress,
		resumeFrom: number,
	): Promise<Result<OpenAttempt, GatewayError>> => {
		for (;;) {
			const target = await acquire(request, progress);
			if (target.isErr) {
				return Result.err(withOutcome(target.error, progress.outcome));
			}

			progress.attempts += 1;
			const attempt = await begin({
				request,
				progress,
				target: target.value,
				attemptId: options.issueAttemptId(),
				resumeFrom,
			});
			if (attempt.isOk) {
				return Result.ok(attempt.value);
			}

			if (attempt.error.isWithdrawn) {
				progress.attempts -= 1;
				continue;
			}

			progress.excluded.add(targetId(target.value));
			const verdict = handleFailure(
				request,
				progress,
				attempt.error,
				resumeFrom > 0,
			);
			if (verdict.isErr) {
				return Result.err(verdict.error);
			}
		}
	};

	const acquire = async (
		request: GatewayRequest,
		progress: Progress,
	): Promise<Result<AttemptTarget, GatewayError>> => {
		for (;;) {
			// Nothing leaves on what was known before a pause, not even a later attempt.
			await options.waitUntilUpToDate();
			if (request.signal.aborted) {
				return Result.err(
					createGatewayError('canceled', 'The caller has gone'),
				);
			}

			const now = clock();
			if (now >= request.deadline) {
				return Result.err(
					createGatewayError(
						'deadline-exceeded',
						'The deadline passed before an attempt',
						{outcome: 'not-run'},
					),
				);
			}

			const standing = options.quarantine.statusOf(request);
			if (standing.kind === 'quarantined') {
				return Result.err(quarantinedError(standing.until - now));
			}

			if (standing.kind === 'pending') {
				await sleep(crashReportWindowMs / 2);
				continue;
			}

			const choice = options.chooser.choose(request, progress, now);
			switch (choice.kind) {
				case 'backend-server':
				case 'peer': {
					return Result.ok(choice);
				}

				case 'none': {
					return Result.err(choice.error);
				}

				case 'busy': {
					if (choice.backoffRemainingMs !== undefined) {
						return Result.err(
							overloadedError(choice.backoffRemainingMs / 1000),
						);
					}

					// A receiver does not queue: the origin may know of a better place. Nor is there anything to wait for
					// where all servers are limited and this node is not among those that send to them.
					const isHopeless = progress.isForwarded || choice.perSecond === 0;
					const wait = isHopeless
						? 'full'
						: await options.capacity.wait(request);
					if (wait !== 'ready') {
						return Result.err(
							overloadedError(options.capacity.retryAfterSeconds()),
						);
					}
				}
			}
		}
	};

	const begin = async (
		plan: AttemptPlan,
	): Promise<Result<OpenAttempt, AttemptFailure>> => {
		const {request, progress, target, attemptId} = plan;
		const startedAt = clock();
		const abort = new AbortController();
		const onGone = () => {
			abort.abort(new Error('caller gone'));
		};

		request.signal.addEventListener('abort', onGone, {once: true});
		const timer = setTimeout(
			onGone,
			attemptTimeout(request, progress, startedAt),
		);
		const id = target.kind === 'backend-server' ? target.server.id : undefined;
		const place =
			target.kind === 'backend-server'
				? options.quarantine.incarnationOf(target.server, startedAt)
				: undefined;
		const finish = createFinish(id, (end) => {
			request.signal.removeEventListener('abort', onGone);
			options.quarantine.recordEnd(request, place, end);
		});
		if (id !== undefined) {
			fleet.handle({kind: 'attempt-started', backendServer: id}, startedAt);
		}

		const sent = await sendCounted(plan, abort.signal, startedAt);
		clearTimeout(timer);
		if (sent.isErr) {
			finish(attemptEndOf(sent.error, request.signal.aborted));
			options.logger.debug(
				{
					requestId: request.requestId,
					attemptId,
					policy: request.policy.name,
					outcome: sent.error.outcome,
				},
				sent.error.error.message,
			);
			return Result.err(sent.error);
		}

		return Result.ok({
			attemptId,
			target,
			upstream: sent.value,
			startedAt,
			abort,
			finish,
		});
	};

	const attemptTimeout = (
		request: GatewayRequest,
		progress: Progress,
		now: number,
	): number => {
		const remaining = Math.max(1, request.deadline - now);
		const isLast =
			!request.isRepeatable || progress.attempts >= maximumAttempts;
		// Half of the time left goes to each attempt, so that a silent target leaves time for another.
		return isLast ? remaining : Math.max(smallestAttemptMs, remaining / 2);
	};

	const createFinish = (
		backendServer: string | undefined,
		release: (end: AttemptEnd) => void,
	) => {
		let isFinished = false;
		return (end: AttemptEnd) => {
			if (isFinished) {
				return;
			}

			isFinished = true;
			release(end);
			if (backendServer === undefined) {
				return;
			}

			fleet.handle({kind: 'attempt-ended', backendServer, end}, clock());
			options.capacity.notify();
		};
	};

	// Each second try and resumption comes through here as well, so all count against a limit.
	const sendCounted = async (
		plan: AttemptPlan,
		signal: AbortSignal,
		startedAt: number,
	): Promise<Result<UpstreamAnswer, AttemptFailure>> => {
		const {target} = plan;
		if (target.kind === 'peer') {
			return send(plan, signal);
		}

		options.limits.recordSent(target.server, startedAt);
		return send(plan, signal);
	};

	const send = async (
		plan: AttemptPlan,
		signal: AbortSignal,
	): Promise<Result<UpstreamAnswer, AttemptFailure>> => {
		const {target} = plan;
		switch (target.kind) {
			case 'backend-server': {
				const {server} = target;
				const sentAt = clock();
				const call = backendCall(plan, signal, {
					canBegin: () => canReceive(server),
					onHead(head) {
						options.statements.recordAnswer(
							server,
							plan.attemptId,
							head,
							sentAt,
						);
					},
				});
				return options.engines.send(
					target.server.address,
					call,
					target.cleared,
				);
			}

			case 'peer': {
				const {request, progress, attemptId, resumeFrom} = plan;
				const details = {
					purpose: 'serve',
					attemptId,
					attempt: progress.attempts,
					resumeFrom,
				} as const;
				const call = forwardCall(request, details, clock());
				return options.peers.forward(
					target.member,
					call,
					target.cleared,
					signal,
				);
			}
		}
	};

	const canReceive = ({id}: Pick<BackendServer, 'id'>): boolean =>
		options.isUpToDate() &&
		!fleet.isLeaving(id) &&
		fleet.backoffRemainingMs(id, clock()) === 0;

	const handleFailure = (
		request: GatewayRequest,
		progress: Progress,
		failure: AttemptFailure,
		hasDelivered: boolean,
	): Result<true, GatewayError> => {
		progress.outcome = worstOutcome(progress.outcome, failure.outcome);
		if (request.signal.aborted) {
			return Result.err(
				createGatewayError('canceled', 'The caller has gone', {
					outcome: progress.outcome,
				}),
			);
		}

		const decision = decideRetry({
			failure,
			isRepeatable: request.isRepeatable,
			hasDelivered,
			isResumable: request.isStreaming && request.isRepeatable,
			attempts: progress.attempts,
			// The origin retries; a receiver makes one attempt and reports what it proved.
			maximumAttempts: progress.isForwarded ? 1 : maximumAttempts,
			remainingMs: hasDelivered ? stallTimeoutMs : request.deadline - clock(),
			hasBudget: options.budget.hasRetry(),
		});
		if (decision.kind === 'give-up') {
			return Result.err(withOutcome(decision.error, progress.outcome));
		}

		options.budget.spend();
		return Result.ok(true);
	};

	const observeFirstToken = ({target, startedAt}: OpenAttempt) => {
		if (target.kind !== 'backend-server') {
			return;
		}

		const elapsedMs = clock() - startedAt;
		fleet.handle(
			{kind: 'first-token', backendServer: target.server.id, elapsedMs},
			clock(),
		);
	};

	return {
		open,
		acquire,
		begin,
		handleFailure,
		observeFirstToken,
	};
};
