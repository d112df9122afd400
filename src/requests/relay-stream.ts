import type {Buffer} from 'node:buffer';
import {Result} from 'true-myth';
import {createGatewayError, type GatewayError} from '../errors/index.ts';
import type {AttemptFailure} from '../retries/index.ts';
import type {StreamEnd} from './answer.ts';
import {brokenAnswerFailure} from './attempt-outcomes.ts';
import {targetId, type OpenAttempt, type Progress} from './attempt.ts';
import {stallTimeoutMs, type Attempts} from './attempts.ts';
import {
	createEventStreamReader,
	type EventStreamReader,
} from './event-stream.ts';
import type {GatewayRequest} from './gateway-request.ts';
import {createSilenceWatch, type SilenceWatch} from './silence-watch.ts';

/**
Relays the attempts of a streamed request into one response stream.
*/
export type StreamRelay = (
	request: GatewayRequest,
	progress: Progress,
	first: OpenAttempt,
) => AsyncGenerator<string, StreamEnd, void>;

type AttemptResult =
	| {readonly kind: 'complete'}
	| {readonly kind: 'failed'; readonly failure: AttemptFailure}
	/**
	Another attempt has sent the next events.
	*/
	| {readonly kind: 'replaced'; readonly attempt: OpenAttempt};

type Next =
	| {readonly kind: 'chunk'; readonly chunk: Buffer}
	| {readonly kind: 'failed'; readonly error: Error}
	| {readonly kind: 'resumed'; readonly attempt: OpenAttempt};

/**
Creates a stream relay.
*/
export const createStreamRelay = (
	attempts: Attempts,
	clock: () => number,
): StreamRelay => {
	// Relays one attempt after another. Each attempt is finished and its remaining bytes are
	// discarded before the next one is relayed.
	async function* relay(
		request: GatewayRequest,
		progress: Progress,
		first: OpenAttempt,
	): AsyncGenerator<string, StreamEnd, void> {
		let attempt = first;
		let delivered = 0;
		for (;;) {
			const reader = createEventStreamReader(attempt.attemptId, delivered);
			const end = yield* relayAttempt(request, progress, attempt, reader);
			delivered = reader.delivered();
			if (end.kind === 'complete') {
				return {kind: 'complete', tokens: delivered};
			}

			if (request.signal.aborted) {
				return {kind: 'canceled', tokens: delivered};
			}

			progress.excluded.add(targetId(attempt.target));
			if (end.kind === 'replaced') {
				attempt = end.attempt;
				continue;
			}

			const verdict = attempts.handleFailure(
				request,
				progress,
				end.failure,
				true,
			);
			const next = verdict.isOk
				? await attempts.open(
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

	async function* relayAttempt(
		request: GatewayRequest,
		progress: Progress,
		attempt: OpenAttempt,
		reader: EventStreamReader,
	): AsyncGenerator<string, AttemptResult, void> {
		let isFirst = true;
		let hasEnded = false;
		const chunks = attempt.upstream.body[Symbol.asyncIterator]();
		const watch = createSilenceWatch(clock, stallTimeoutMs);
		const resume = async (signal: AbortSignal) =>
			attempts.openBeside({...request, signal}, progress, {
				silent: attempt.target,
				resumeFrom: reader.delivered(),
			});
		try {
			for (;;) {
				const next = await nextOrResumed(nextOf(chunks), watch, {
					request,
					resume,
				});
				if (next.kind === 'resumed') {
					attempt.finish('canceled');
					return {kind: 'replaced', attempt: next.attempt};
				}

				if (next.kind === 'failed') {
					return {kind: 'failed', failure: brokenAnswerFailure(next.error)};
				}

				const piece = reader.push(next.chunk);
				if (piece.kind === 'fault') {
					return {
						kind: 'failed',
						failure: brokenAnswerFailure(new Error(piece.message)),
					};
				}

				if (isFirst && piece.tokens > 0) {
					isFirst = false;
					attempts.observeFirstToken(attempt);
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
		} finally {
			watch.stop();
			attempt.finish(request.signal.aborted ? 'canceled' : 'failed');
			if (!hasEnded) {
				attempt.abort.abort();
			}
		}
	}

	// A silent attempt stays open until it sends something, breaks off, or another one has sent the next events.
	const nextOrResumed = async (
		pending: Promise<Next>,
		watch: SilenceWatch,
		{
			request,
			resume,
		}: {
			readonly request: GatewayRequest;
			readonly resume: (
				signal: AbortSignal,
			) => Promise<OpenAttempt | undefined>;
		},
	): Promise<Next> => {
		for (;;) {
			const early = await watch.within(pending);
			if (early) {
				return early;
			}

			if (clock() >= request.deadline) {
				const error = new Error('it was silent until its deadline');
				return {kind: 'failed', error};
			}

			const cancellation = new AbortController();
			const signal = AbortSignal.any([request.signal, cancellation.signal]);
			const resumed = resume(signal).then((attempt): Next | undefined =>
				attempt ? {kind: 'resumed', attempt} : undefined,
			);
			const result = await Promise.race([pending, resumed]);
			if (result?.kind === 'chunk') {
				cancellation.abort();
				void resumed.then(discard);
				return result;
			}

			const next = result?.kind === 'failed' ? await resumed : result;
			if (next ?? result) {
				return (next ?? result)!;
			}
		}
	};

	return relay;
};

const nextOf = async (chunks: AsyncIterator<Buffer>): Promise<Next> => {
	try {
		const next = await chunks.next();
		return next.done === true
			? {
					kind: 'failed',
					error: new Error('the stream ended before its final event'),
				}
			: {kind: 'chunk', chunk: next.value};
	} catch (error) {
		return {kind: 'failed', error: error as Error};
	}
};

const discard = (next: Next | undefined): void => {
	if (next?.kind !== 'resumed') {
		return;
	}

	next.attempt.abort.abort();
	next.attempt.finish('canceled');
};
