import {setTimeout as sleep} from 'node:timers/promises';
import {Result} from 'true-myth';
import type {BackendServer} from '../configuration/index.ts';
import {
	softwareVersionOf,
	type EngineClient,
	type UpstreamAnswer,
} from '../engines/index.ts';
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
import {assertNever} from '../shared/index.ts';
import {backendCall, forwardCall} from './attempt-calls.ts';
import {
	overloadedError,
	attemptEndOf,
	otherVersionFailure,
	worstOutcome,
	withOutcome,
} from './attempt-outcomes.ts';
import {
	maximumAttempts,
	targetId,
	type AttemptPlan,
	type AttemptTarget,
	type OpenAttempt,
	type Progress,
} from './attempt.ts';
import type {CapacityQueue, QueueResult} from './capacity-queue.ts';
import {createAttemptHedging} from './attempt-hedging.ts';
import {withFirstChunk} from './first-chunk.ts';
import type {TargetChooser} from './target-choice.ts';
import type {GatewayRequest} from './gateway-request.ts';
import type {RequestLimits} from './request-limits.ts';
import type {RequestStatements} from './request-statements.ts';
import {
	quarantinedError,
	type RequestQuarantine,
} from './request-quarantine.ts';

/**
Options of `createAttempts`.
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
	Resolves when the node's state is current; waits only after a pause of the process.
	*/
	readonly waitUntilUpToDate: () => Promise<void>;
	/**
	Whether the node's state is current; false after a pause of the process until the node has caught up.
	*/
	readonly isUpToDate: () => boolean;
	readonly logger: Logger;
};

/**
Makes attempts and decides after a failure whether to retry.
*/
export type Attempts = {
	/**
	Makes attempts until one receives a response head or no further attempt is allowed.
	*/
	open(
		request: GatewayRequest,
		progress: Progress,
		resumeFrom: number,
	): Promise<Result<OpenAttempt, GatewayError>>;
	/**
	Resumes a stream beside an attempt that is silent. Returns undefined if that is not allowed, or if no attempt sends an event.
	*/
	openBeside(
		request: GatewayRequest,
		progress: Progress,
		stream: {readonly silent: AttemptTarget; readonly resumeFrom: number},
	): Promise<OpenAttempt | undefined>;
	/**
	Chooses a target; waits in the capacity queue if no slot is free.
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
	Records a failure and decides on a retry; returns an error if the request is given up.
	*/
	handleFailure(
		request: GatewayRequest,
		progress: Progress,
		failure: AttemptFailure,
		hasDelivered: boolean,
	): Result<true, GatewayError>;
	/**
	Records the time to the first token in the fleet.
	*/
	observeFirstToken(attempt: OpenAttempt): void;
};

/**
Milliseconds without an event after which a stream is resumed beside the silent attempt, and the time for that.
*/
export const stallTimeoutMs = 5000;

// A server may state no version; then only another that states none continues the stream.
const canContinue = (
	{softwareVersion}: Progress,
	{upstream}: OpenAttempt,
	resumeFrom: number,
): boolean =>
	resumeFrom === 0 || softwareVersionOf(upstream) === softwareVersion;

const waitErrorOf = (
	result: QueueResult,
	retryAfterSeconds: () => number,
): GatewayError | undefined => {
	switch (result) {
		case 'ready': {
			return undefined;
		}

		case 'full':
		case 'expired': {
			return overloadedError(retryAfterSeconds());
		}

		case 'closed': {
			return createGatewayError(
				'leaving',
				'This entry VM may end before a slot is free; use one of the others',
			);
		}

		default: {
			return assertNever(result);
		}
	}
};

/**
Creates the functions that make attempts.
*/
export const createAttempts = (options: AttemptOptions): Attempts => {
	const {clock, fleet} = options;

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

			const attempt = await hedging.begin(request, progress, {
				target: target.value,
				resumeFrom,
			});
			if (attempt.isOk && canContinue(progress, attempt.value, resumeFrom)) {
				return Result.ok(attempt.value);
			}

			if (attempt.isOk) {
				attempt.value.abort.abort();
				attempt.value.finish('canceled');
				progress.excluded.add(targetId(attempt.value.target));
			}

			const failure = attempt.isOk ? otherVersionFailure() : attempt.error;
			if (failure.isWithdrawn) {
				progress.attempts -= 1;
				continue;
			}

			const verdict = handleFailure(request, progress, failure, resumeFrom > 0);
			if (verdict.isErr) {
				return Result.err(verdict.error);
			}
		}
	};

	const openBeside = async (
		request: GatewayRequest,
		progress: Progress,
		{
			silent,
			resumeFrom,
		}: {readonly silent: AttemptTarget; readonly resumeFrom: number},
	): Promise<OpenAttempt | undefined> => {
		if (!hedging.isAllowed(request, progress)) {
			return undefined;
		}

		options.budget.spend();
		progress.excluded.add(targetId(silent));
		options.logger.info(
			{requestId: request.requestId, silentTarget: targetId(silent)},
			'stream is resumed beside a silent attempt',
		);
		const opened = await open(
			{...request, deadline: clock() + stallTimeoutMs},
			progress,
			resumeFrom,
		);
		if (opened.isErr) {
			return undefined;
		}

		if (opened.value.upstream.status !== 200) {
			opened.value.abort.abort();
			opened.value.finish('failed');
			return undefined;
		}

		return withFirstChunk(opened.value, request.signal);
	};

	const acquire = async (
		request: GatewayRequest,
		progress: Progress,
	): Promise<Result<AttemptTarget, GatewayError>> => {
		for (;;) {
			// After a pause of the process the state may be stale, so no attempt is sent before it is refreshed.
			await options.waitUntilUpToDate();
			if (request.signal.aborted) {
				return Result.err(
					createGatewayError('canceled', 'The caller closed the connection'),
				);
			}

			const now = clock();
			if (now >= request.deadline) {
				return Result.err(
					createGatewayError(
						'deadline-exceeded',
						'The deadline passed before an attempt was made',
						{outcome: 'not-run'},
					),
				);
			}

			const status = options.quarantine.statusOf(request);
			if (status.kind === 'quarantined') {
				return Result.err(quarantinedError(status.until - now));
			}

			if (status.kind === 'pending') {
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

					// A receiving node does not queue, because the origin may know another target. Waiting is also
					// pointless if all servers have rate limits and this node's share of them is 0.
					const isNotQueued = progress.isForwarded || choice.perSecond === 0;
					const result = isNotQueued
						? 'full'
						: await options.capacity.wait(request);
					const refusal = waitErrorOf(
						result,
						options.capacity.retryAfterSeconds,
					);
					if (refusal) {
						return Result.err(refusal);
					}
				}
			}
		}
	};

	const begin = async (
		plan: AttemptPlan,
	): Promise<Result<OpenAttempt, AttemptFailure>> => {
		const {request, target, attemptId} = plan;
		const startedAt = clock();
		const abort = new AbortController();
		const cancel = () => {
			abort.abort(new Error('canceled by the caller or by the time-out'));
		};

		request.signal.addEventListener('abort', cancel, {once: true});
		plan.cancellation?.addEventListener('abort', cancel, {once: true});
		const timer = setTimeout(cancel, Math.max(1, request.deadline - startedAt));
		const id = target.kind === 'backend-server' ? target.server.id : undefined;
		const incarnation =
			target.kind === 'backend-server'
				? options.quarantine.incarnationOf(target.server, startedAt)
				: undefined;
		const finish = createFinish(id, (end) => {
			request.signal.removeEventListener('abort', cancel);
			options.quarantine.recordEnd(request, incarnation, end);
		});
		if (id !== undefined) {
			fleet.handle({kind: 'attempt-started', backendServer: id}, startedAt);
		}

		const sent = await sendCounted(plan, abort.signal, startedAt);
		clearTimeout(timer);
		if (sent.isErr) {
			const isCanceled =
				request.signal.aborted || plan.cancellation?.aborted === true;
			finish(attemptEndOf(sent.error, isCanceled));
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

	// Retries and resumptions also take this path, so all of them count against the server's rate limit.
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
				createGatewayError('canceled', 'The caller closed the connection', {
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
			// Only the origin retries; a receiving node makes one attempt and reports its outcome.
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

	const hedging = createAttemptHedging(options, begin);

	return {
		open,
		openBeside,
		acquire,
		begin,
		handleFailure,
		observeFirstToken,
	};
};
