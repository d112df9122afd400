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
	| {readonly kind: 'failed'; readonly failure: AttemptFailure};

const stallCheckMs = 1000;

/**
Creates a stream relay.
*/
export const createStreamRelay = (
	attempts: Attempts,
	clock: () => number,
): StreamRelay => {
	// Relays one attempt after another. Each attempt is finished and its remaining bytes are
	// discarded before the next one is opened.
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
		attempt: OpenAttempt,
		reader: EventStreamReader,
	): AsyncGenerator<string, AttemptResult, void> {
		let isFirst = true;
		let lastEventAt = clock();
		let lastCheckAt = lastEventAt;
		const stallTimer = setInterval(() => {
			const now = clock();
			// After a pause of this process, the time without events says nothing about the other side.
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
						failure: brokenAnswerFailure(new Error(piece.message)),
					};
				}

				lastEventAt = clock();
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

			return {
				kind: 'failed',
				failure: brokenAnswerFailure(
					new Error('the stream ended before its final event'),
				),
			};
		} catch (error) {
			return {kind: 'failed', failure: brokenAnswerFailure(error as Error)};
		} finally {
			clearInterval(stallTimer);
			attempt.finish(request.signal.aborted ? 'canceled' : 'failed');
			if (!hasEnded) {
				attempt.abort.abort();
			}
		}
	}

	return relay;
};
