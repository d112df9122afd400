import {Result} from 'true-myth';
import {softwareVersionOf, type UpstreamAnswer} from '../engines/index.ts';
import {createGatewayError, type GatewayError} from '../errors/index.ts';
import type {AttemptEnd} from '../fleet/index.ts';
import type {AttemptFailure, RetryBudget} from '../retries/index.ts';
import {refuse, type Answer} from './answer.ts';
import {
	answerHeaders,
	collectBody,
	isServerError,
	servedBy,
	tokensOf,
} from './attempt-answers.ts';
import {brokenAnswerFailure, serverErrorFailure} from './attempt-outcomes.ts';
import type {OpenAttempt, Progress} from './attempt.ts';
import type {Attempts} from './attempts.ts';
import type {GatewayRequest} from './gateway-request.ts';
import type {StreamRelay} from './relay-stream.ts';

/**
Options of `createRequestExecutor`.
*/
export type ExecutorOptions = {
	readonly clock: () => number;
	readonly attempts: Attempts;
	readonly relay: StreamRelay;
	readonly budget: RetryBudget;
};

/**
Executes requests with attempts, retries and resumption of streams.
*/
export type RequestExecutor = {
	/**
	 Runs a request and returns its answer.
	 
	 @param isForwarded Whether another node forwarded the request; it is then served in this zone or rejected.
	 */
	execute(request: GatewayRequest, isForwarded: boolean): Promise<Answer>;
	/**
	 Makes the single attempt for a request that another node forwarded, and returns the backend
	 server's response unchanged; the origin checks it and decides on a retry.
	 */
	openForwarded(
		request: GatewayRequest,
		attemptId: string,
		resumeFrom: number,
	): Promise<Result<ForwardedAttempt, GatewayError>>;
};

/**
An attempt for a forwarded request whose response head has arrived.
*/
export type ForwardedAttempt = {
	readonly upstream: UpstreamAnswer;
	readonly backendServer: string;
	/**
	Must be called once, when the response has been passed on or abandoned.
	*/
	readonly finish: (end: AttemptEnd) => void;
	/**
	Must be called when the first byte has arrived.
	*/
	readonly observeFirstByte: () => void;
};

/**
Creates a request executor.
*/
export const createRequestExecutor = (
	options: ExecutorOptions,
): RequestExecutor => {
	const {clock, attempts, relay} = options;

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
			// Attempts are sequential; at most one is open at a time.
			const opened = await attempts.open(request, progress, 0);
			if (opened.isErr) {
				return refuse(opened.error);
			}

			const answer = await readWhole(request, opened.value, progress);
			if (answer.isOk) {
				return answer.value;
			}

			const verdict = attempts.handleFailure(
				request,
				progress,
				answer.error,
				false,
			);
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
			const body = await collectBody(attempt.upstream.body);
			if (isServerError(request, attempt.upstream)) {
				attempt.finish('failed');
				return Result.err(serverErrorFailure(attempt.upstream.status));
			}

			attempts.observeFirstToken(attempt);
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
			return Result.err(brokenAnswerFailure(error as Error));
		} finally {
			clearTimeout(timer);
		}
	};

	const executeStream = async (
		request: GatewayRequest,
		progress: Progress,
	): Promise<Answer> => {
		for (;;) {
			const opened = await attempts.open(request, progress, 0);
			if (opened.isErr) {
				return refuse(opened.error);
			}

			const attempt = opened.value;
			if (attempt.upstream.status === 200) {
				progress.softwareVersion = softwareVersionOf(attempt.upstream);
				return {
					kind: 'stream',
					status: 200,
					headers: answerHeaders(request, attempt, progress),
					pieces: relay(request, progress, attempt),
					servedBy: servedBy(attempt, progress),
				};
			}

			// An engine that does not stream sends a complete body, usually an error.
			const answer = await readWhole(request, attempt, progress);
			if (answer.isOk) {
				return answer.value;
			}

			const verdict = attempts.handleFailure(
				request,
				progress,
				answer.error,
				false,
			);
			if (verdict.isErr) {
				return refuse(verdict.error);
			}
		}
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
		const target = await attempts.acquire(request, progress);
		if (target.isErr) {
			return Result.err(target.error);
		}

		if (target.value.kind === 'peer') {
			// Unreachable as long as the chooser returns no peer for a forwarded request; guards against a second hop.
			return Result.err(
				createGatewayError(
					'hop-refused',
					'A forwarded request is not forwarded again',
				),
			);
		}

		const backendServer = target.value.server.id;
		const attempt = await attempts.begin({
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
					attempts.observeFirstToken(opened);
				},
			}))
			.mapErr(({error, outcome}) => ({...error, outcome}));
	};

	return {execute, openForwarded};
};
