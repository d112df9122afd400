import {Buffer} from 'node:buffer';
import {Result} from 'true-myth';
import type {
	BackendCall,
	EngineClient,
	UpstreamAnswer,
} from '../engines/index.ts';
import {
	createGatewayError,
	type GatewayError,
	type Outcome,
} from '../errors/index.ts';
import type {AttemptEnd, Fleet} from '../fleet/index.ts';
import type {Logger} from '../logging/index.ts';
import type {ForwardCall, PeerCalls} from '../peers/index.ts';
import {
	decideRetry,
	type AttemptFailure,
	type RetryBudget,
} from '../retries/index.ts';
import {refuse, type Answer, type ServedBy, type StreamEnd} from './answer.ts';
import type {TargetChoice, TargetChooser} from './choose-target.ts';
import {
	createEventStreamReader,
	type EventStreamReader,
} from './event-stream.ts';
import type {GatewayRequest} from './gateway-request.ts';
import type {CapacityWait} from './capacity-wait.ts';

/**
What the executor is built from.
*/
export type ExecutorOptions = {
	readonly clock: () => number;
	readonly chooser: TargetChooser;
	readonly fleet: Fleet;
	readonly engines: EngineClient;
	readonly peers: PeerCalls;
	readonly budget: RetryBudget;
	readonly capacity: CapacityWait;
	readonly issueAttemptId: () => string;

	/**
	Resolves at once, or after a pause of the process once the node is up to date again.
	*/
	readonly caughtUp: () => Promise<void>;
	readonly logger: Logger;
};

/**
Carries out requests: attempts, retries and resumption.
*/
export type RequestExecutor = {
	/**
	 Runs a request to its answer.
	 
	 @param isForwarded whether it came from another node; then it is served in this zone or refused.
	 */
	execute(request: GatewayRequest, isForwarded: boolean): Promise<Answer>;
	/**
	 Makes the one attempt of a request that another node sent here, and hands its answer
	 over as the backend server gives it; the origin checks it and decides what follows.
	 */
	openForwarded(
		request: GatewayRequest,
		attemptId: string,
		resumeFrom: number,
	): Promise<Result<ForwardedAttempt, GatewayError>>;
};

/**
The open attempt of a forwarded request.
*/
export type ForwardedAttempt = {
	readonly upstream: UpstreamAnswer;
	readonly backendServer: string;
	/**
	To be called once when the answer has been passed on or given up.
	*/
	readonly finish: (end: AttemptEnd) => void;
	/**
	To be called when the first byte has arrived.
	*/
	readonly observeFirstByte: () => void;
};

/**
The most attempts for one request.
*/
export const maximumAttempts = 4;

/**
A stream without an event for this many milliseconds counts as broken.
*/
export const stallTimeoutMs = 5000;

/**
The longest body of an answer that is not streamed, in bytes.
*/
export const maximumAnswerBytes = 33_554_432;

type Chosen = Extract<TargetChoice, {kind: 'backend-server' | 'peer'}>;

type OpenAttempt = {
	readonly attemptId: string;
	readonly target: Chosen;
	readonly upstream: UpstreamAnswer;
	readonly startedAt: number;
	readonly abort: AbortController;
	/**
	Ends the attempt in the books; only the first call counts.
	*/
	readonly finish: (end: AttemptEnd) => void;
};

// What one attempt is to do.
type AttemptPlan = {
	readonly request: GatewayRequest;
	readonly progress: Progress;
	readonly target: Chosen;
	readonly attemptId: string;
	readonly resumeFrom: number;
};

// What one request has been through; shared by its attempts.
type Progress = {
	attempts: number;
	/**
	The gravest thing that any attempt so far may have led to.
	*/
	outcome: Outcome;
	readonly excluded: Set<string>;
	readonly isForwarded: boolean;
};

/**
Builds an executor.
*/
export const createRequestExecutor = (
	options: ExecutorOptions,
): RequestExecutor => {
	const {clock, fleet} = options;

	const execute = async (
		request: GatewayRequest,
		isForwarded: boolean,
	): Promise<Answer> => {
		options.budget.earn();
		const progress: Progress = {
			attempts: 0,
			outcome: 'not-run',
			excluded: new Set(),
			isForwarded,
		};
		return request.isStreaming
			? executeStream(request, progress)
			: executeWhole(request, progress);
	};

	const executeWhole = async (
		request: GatewayRequest,
		progress: Progress,
	): Promise<Answer> => {
		for (;;) {
			// Attempts follow one another; there are never two at a time.
			const opened = await open(request, progress, 0);
			if (opened.isErr) {
				return refuse(opened.error);
			}

			const answer = await readWhole(request, opened.value, progress);
			if (answer.isOk) {
				return answer.value;
			}

			const verdict = judge(request, progress, answer.error, false);
			if (verdict.isErr) {
				return refuse(verdict.error);
			}
		}
	};

	const readWhole = async (
		request: GatewayRequest,
		attempt: OpenAttempt,
		progress: Progress,
	): Promise<Result<Answer, AttemptFailure>> => {
		const timer = setTimeout(
			() => {
				attempt.abort.abort(new Error('deadline'));
			},
			Math.max(1, request.deadline - clock()),
		);
		try {
			const body = await collect(attempt.upstream.body);
			if (isServerFault(request, attempt.upstream)) {
				attempt.finish('failed');
				return Result.err(serverFault(attempt.upstream.status));
			}

			observeFirstToken(attempt);
			attempt.finish('answered');
			return Result.ok({
				kind: 'complete',
				status: attempt.upstream.status,
				headers: answerHeaders(request, attempt, progress),
				body,
				servedBy: servedBy(attempt, progress),
				tokens: tokensOf(request, body),
			});
		} catch (error) {
			const isCanceled = request.signal.aborted;
			attempt.finish(isCanceled ? 'canceled' : 'failed');
			return Result.err(brokenBody(error as Error));
		} finally {
			clearTimeout(timer);
		}
	};

	const executeStream = async (
		request: GatewayRequest,
		progress: Progress,
	): Promise<Answer> => {
		for (;;) {
			const opened = await open(request, progress, 0);
			if (opened.isErr) {
				return refuse(opened.error);
			}

			const attempt = opened.value;
			if (attempt.upstream.status === 200) {
				return {
					kind: 'stream',
					status: 200,
					headers: answerHeaders(request, attempt, progress),
					pieces: relay(request, progress, attempt),
					servedBy: servedBy(attempt, progress),
				};
			}

			// An engine that does not stream answers with a whole body, most often an error.
			const answer = await readWhole(request, attempt, progress);
			if (answer.isOk) {
				return answer.value;
			}

			const verdict = judge(request, progress, answer.error, false);
			if (verdict.isErr) {
				return refuse(verdict.error);
			}
		}
	};

	// Relays one attempt after the other into one answer. An attempt is ended and its
	// remaining bytes are given up before the next one is opened.
	async function* relay(
		request: GatewayRequest,
		progress: Progress,
		first: OpenAttempt,
	): AsyncGenerator<string, StreamEnd, void> {
		let attempt = first;
		let delivered = 0;
		for (;;) {
			const reader = createEventStreamReader(attempt.attemptId, delivered);
			const end = yield* relayAttempt(request, attempt, reader);
			delivered = reader.delivered();
			if (end.kind === 'complete') {
				return {kind: 'complete', tokens: delivered};
			}

			if (request.signal.aborted) {
				return {kind: 'canceled', tokens: delivered};
			}

			progress.excluded.add(targetId(attempt.target));
			const verdict = judge(request, progress, end.failure, true);
			const next = verdict.isOk
				? await open(
						{...request, deadline: clock() + stallTimeoutMs},
						progress,
						delivered,
					)
				: Result.err<OpenAttempt, GatewayError>(verdict.error);
			if (next.isErr) {
				const error = createGatewayError('stream-broken', next.error.message, {
					outcome: 'ran',
				});
				return {kind: 'broken', tokens: delivered, error};
			}

			attempt = next.value;
			if (attempt.upstream.status !== 200) {
				attempt.abort.abort();
				attempt.finish('failed');
				const error = createGatewayError(
					'stream-broken',
					'The answer broke off and could not be resumed',
				);
				return {kind: 'broken', tokens: delivered, error};
			}
		}
	}

	type AttemptResult =
		| {readonly kind: 'complete'}
		| {readonly kind: 'failed'; readonly failure: AttemptFailure};

	async function* relayAttempt(
		request: GatewayRequest,
		attempt: OpenAttempt,
		reader: EventStreamReader,
	): AsyncGenerator<string, AttemptResult, void> {
		let isFirst = true;
		let lastEventAt = clock();
		let lastCheckAt = lastEventAt;
		const watch = setInterval(() => {
			const now = clock();
			// A pause of this process is no silence of the other side.
			if (now - lastCheckAt > 2 * stallCheckMs) {
				lastEventAt = now;
			}

			lastCheckAt = now;
			if (now - lastEventAt > stallTimeoutMs) {
				attempt.abort.abort(new Error('stalled'));
			}
		}, stallCheckMs);
		let hasEnded = false;
		try {
			for await (const chunk of attempt.upstream.body) {
				const piece = reader.push(chunk);
				if (piece.kind === 'fault') {
					return {
						kind: 'failed',
						failure: brokenBody(new Error(piece.message)),
					};
				}

				lastEventAt = clock();
				if (isFirst && piece.tokens > 0) {
					isFirst = false;
					observeFirstToken(attempt);
				}

				if (piece.isEnd) {
					hasEnded = true;
					attempt.finish('answered');
				}

				if (piece.text !== '') {
					yield piece.text;
				}

				if (hasEnded) {
					return {kind: 'complete'};
				}
			}

			return {
				kind: 'failed',
				failure: brokenBody(new Error('the stream ended too soon')),
			};
		} catch (error) {
			return {kind: 'failed', failure: brokenBody(error as Error)};
		} finally {
			clearInterval(watch);
			attempt.finish(request.signal.aborted ? 'canceled' : 'failed');
			if (!hasEnded) {
				attempt.abort.abort();
			}
		}
	}

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

			progress.excluded.add(targetId(target.value));
			const verdict = judge(request, progress, attempt.error, resumeFrom > 0);
			if (verdict.isErr) {
				return Result.err(verdict.error);
			}
		}
	};

	const acquire = async (
		request: GatewayRequest,
		progress: Progress,
	): Promise<Result<Chosen, GatewayError>> => {
		for (;;) {
			// Nothing leaves on what was known before a pause, not even a later attempt.
			await options.caughtUp();
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
					// A receiver does not queue: the origin may know of a better place.

					const wait = progress.isForwarded
						? 'full'
						: await options.capacity.wait(request);
					if (wait !== 'ready') {
						return Result.err(busy(options.capacity.retryAfterSeconds()));
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
		const finish = createFinish(id, () => {
			request.signal.removeEventListener('abort', onGone);
		});
		if (id !== undefined) {
			fleet.handle({kind: 'attempt-started', backendServer: id}, startedAt);
		}

		const sent = await send(plan, abort.signal);
		clearTimeout(timer);
		if (sent.isErr) {
			finish(endOf(sent.error, request.signal.aborted));
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
		release: () => void,
	) => {
		let isFinished = false;
		return (end: AttemptEnd) => {
			if (isFinished) {
				return;
			}

			isFinished = true;
			release();
			if (backendServer === undefined) {
				return;
			}

			fleet.handle({kind: 'attempt-ended', backendServer, end}, clock());
			options.capacity.notify();
		};
	};

	const send = async (
		plan: AttemptPlan,
		signal: AbortSignal,
	): Promise<Result<UpstreamAnswer, AttemptFailure>> => {
		const {target} = plan;
		switch (target.kind) {
			case 'backend-server': {
				const call = backendCall(plan, signal);
				return options.engines.send(
					target.server.address,
					call,
					target.cleared,
				);
			}

			case 'peer': {
				const call = forwardCall(plan, clock());
				return options.peers.forward(
					target.member,
					call,
					target.cleared,
					signal,
				);
			}
		}
	};

	const judge = (
		request: GatewayRequest,
		progress: Progress,
		failure: AttemptFailure,
		hasDelivered: boolean,
	): Result<true, GatewayError> => {
		progress.outcome = gravest(progress.outcome, failure.outcome);
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

	const openForwarded = async (
		request: GatewayRequest,
		attemptId: string,
		resumeFrom: number,
	): Promise<Result<ForwardedAttempt, GatewayError>> => {
		const progress: Progress = {
			attempts: 1,
			outcome: 'not-run',
			excluded: new Set(),
			isForwarded: true,
		};
		const target = await acquire(request, progress);
		if (target.isErr) {
			return Result.err(target.error);
		}

		if (target.value.kind === 'peer') {
			// Not reachable while the chooser keeps its word; a second hop must fail, not happen.
			return Result.err(
				createGatewayError(
					'hop-refused',
					'A forwarded request is never sent on',
				),
			);
		}

		const backendServer = target.value.server.id;
		const attempt = await begin({
			request,
			progress,
			target: target.value,
			attemptId,
			resumeFrom,
		});
		return attempt
			.map((opened) => ({
				upstream: opened.upstream,
				backendServer,
				finish: opened.finish,
				observeFirstByte() {
					observeFirstToken(opened);
				},
			}))
			.mapErr(({error, outcome}) => ({...error, outcome}));
	};

	return {execute, openForwarded};
};

const smallestAttemptMs = 500;
const stallCheckMs = 1000;

const outcomeRank: Readonly<Record<Outcome, number>> = {
	'not-run': 0,
	unknown: 1,
	ran: 2,
};

/**
The graver of two outcomes: what may have happened over both attempts.
*/
export const gravest = (left: Outcome, right: Outcome): Outcome =>
	outcomeRank[right] > outcomeRank[left] ? right : left;

// An error never claims less than what the attempts before it may have done.
const withOutcome = (error: GatewayError, outcome: Outcome): GatewayError => ({
	...error,
	outcome: gravest(outcome, error.outcome),
});

const busy = (retryAfterSeconds: number): GatewayError =>
	createGatewayError(
		'overloaded',
		'Every slot that could serve the request is taken; come back later',
		{
			retryAfterSeconds,
		},
	);

const targetId = (target: Chosen): string =>
	target.kind === 'peer' ? target.member.id : target.server.id;

const endOf = (failure: AttemptFailure, isCanceled: boolean): AttemptEnd => {
	if (isCanceled) {
		return 'canceled';
	}

	if (failure.outcome === 'not-run') {
		return failure.error.kind === 'overloaded' ? 'refused' : 'unreachable';
	}

	return 'failed';
};

const brokenBody = (error: Error): AttemptFailure => ({
	outcome: 'unknown',
	isStated: false,
	error: createGatewayError(
		'attempt-failed',
		`The answer broke off (${error.message})`,
	),
});

const firstServerFault = 500;

const isServerFault = (
	request: GatewayRequest,
	upstream: UpstreamAnswer,
): boolean =>
	upstream.status >= firstServerFault && request.service.kind === 'model';

const serverFault = (status: number): AttemptFailure => ({
	outcome: 'unknown',
	isStated: true,
	error: createGatewayError(
		'attempt-failed',
		`The backend server failed with status ${status}`,
	),
});

const collect = async (body: AsyncIterable<Buffer>): Promise<Buffer> => {
	const chunks: Buffer[] = [];
	let length = 0;
	for await (const chunk of body) {
		length += chunk.length;
		if (length > maximumAnswerBytes) {
			throw new Error(`the answer is longer than ${maximumAnswerBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

const tokensOf = (request: GatewayRequest, body: Buffer): number => {
	if (request.service.kind !== 'model') {
		return 0;
	}

	const match = /"completion_tokens":\s*(?<count>\d+)/v.exec(
		body.toString('utf8'),
	);
	return Number(match?.groups?.count ?? 0);
};

const servedBy = ({target}: OpenAttempt, progress: Progress): ServedBy => {
	const {attempts} = progress;
	switch (target.kind) {
		case 'backend-server': {
			const {id, availabilityZone, costPerThousandTokens} = target.server;
			return {
				region: target.region,
				availabilityZone,
				target: id,
				attempts,
				costPerThousandTokens,
			};
		}

		case 'peer': {
			const {region, availabilityZone, costPerThousandTokens} = target.zone;
			return {
				region,
				availabilityZone,
				target: target.member.id,
				attempts,
				costPerThousandTokens,
			};
		}
	}
};

const answerHeaders = (
	request: GatewayRequest,
	attempt: OpenAttempt,
	progress: Progress,
): Readonly<Record<string, string>> => {
	const {region, target, attempts} = servedBy(attempt, progress);
	const contentType = attempt.upstream.headers['content-type'];
	const chosenBy = attempt.upstream.headers['x-quillford-backend-server'];
	return {
		'content-type':
			typeof contentType === 'string'
				? contentType
				: 'application/octet-stream',
		'x-request-id': request.requestId,
		'x-quillford-outcome': 'ran',
		'x-quillford-region': region,
		'x-quillford-backend-server':
			typeof chosenBy === 'string' ? chosenBy : target,
		'x-quillford-policy': request.policy.name,
		'x-quillford-attempts': String(attempts),
	};
};

const backendCall = (
	{request, attemptId, resumeFrom}: AttemptPlan,
	signal: AbortSignal,
): BackendCall => ({
	method: request.method,
	path: request.url,
	headers: {
		'x-request-id': request.requestId,
		...(request.contentType !== undefined && {
			'content-type': request.contentType,
		}),
	},
	body: request.body,
	attemptId,
	priority: request.priority,
	resumeFrom,
	signal,
});

const forwardCall = (
	{request, progress, attemptId, resumeFrom}: AttemptPlan,
	now: number,
): ForwardCall => ({
	purpose: 'serve',
	requestId: request.requestId,
	attemptId,
	attempt: progress.attempts,
	clientName: request.client.name,
	policyName: request.policy.name,
	serviceName: request.service.name,
	model: request.model,
	labels: request.labels,
	requestedResidency: request.claim.requested,
	homeRegion: request.homeRegion,
	priority: request.priority,
	remainingMs: Math.max(1, Math.round(request.deadline - now)),
	isRepeatable: request.isRepeatable,
	isStreaming: request.isStreaming,
	session: request.session,
	prefixKey: request.prefixKey,
	resumeFrom,
	method: request.method,
	url: request.url,
	contentType: request.contentType,
	body: request.body,
});
