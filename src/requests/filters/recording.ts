import type {Configuration} from '../../configuration/index.ts';
import type {GatewayRequest} from '../gateway-request.ts';
import type {Recorder, Metrics, RequestRecord} from '../../reporting/index.ts';
import type {Answer, ServedBy, StreamEnd} from '../answer.ts';
import type {Filter} from '../filter-chain.ts';

/**
Options of `createRecordingFilter`.
*/
export type RecordingOptions = {
	readonly clock: () => number;
	readonly wallClock: () => number;
	readonly configuration: () => Configuration | undefined;
	readonly recorder: Recorder;
	readonly metrics: Metrics;
};

/**
Records cost, latency and region of each answer when it has ended.
*/
export const createRecordingFilter = (
	options: RecordingOptions,
): Filter<GatewayRequest, GatewayRequest> => {
	const write = (record: RequestRecord) => {
		options.recorder.record(record, options.configuration()?.objectives ?? []);
		options.metrics.request(record);
	};

	return async (request, next) => {
		const startedAt = options.clock();
		const answer = await next(request);
		const begunAt = options.clock();
		const base = {
			request,
			startedAt,
			begunAt,
			endedAt: begunAt,
			wallClock: options.wallClock(),
		};
		switch (answer.kind) {
			case 'complete': {
				write(
					describe({
						...base,
						result: 'answered',
						tokens: answer.tokens,
						servedBy: answer.servedBy,
					}),
				);
				return answer;
			}

			case 'refused': {
				write(
					describe({
						...base,
						result: answer.error.kind,
						tokens: 0,
						servedBy: undefined,
					}),
				);
				return answer;
			}

			case 'stream': {
				const {servedBy} = answer;
				const pieces = watch(
					answer.pieces,
					(end, firstPieceAt) => {
						const endedAt = options.clock();
						write(
							describe({
								...base,
								begunAt: firstPieceAt === 0 ? endedAt : firstPieceAt,
								endedAt,
								result: resultOf(end),
								tokens: end.tokens,
								servedBy,
							}),
						);
					},
					options.clock,
				);
				return {...answer, pieces};
			}
		}
	};
};

type Described = {
	readonly request: GatewayRequest;
	readonly startedAt: number;
	readonly begunAt: number;
	readonly endedAt: number;
	readonly wallClock: number;
	readonly result: RequestRecord['result'];
	readonly tokens: number;
	readonly servedBy: ServedBy | undefined;
};

const describe = (described: Described): RequestRecord => {
	const {request, startedAt, begunAt, endedAt, tokens, servedBy} = described;
	return {
		client: request.client.name,
		policy: request.policy.name,
		labels: request.labels,
		homeRegion: request.homeRegion,
		servedRegion: servedBy?.region,
		result: described.result,
		firstTokenMs: servedBy ? begunAt - startedAt : undefined,
		interTokenMs:
			tokens > 1 && request.isStreaming
				? (endedAt - begunAt) / (tokens - 1)
				: undefined,
		totalMs: endedAt - startedAt,
		tokens,
		cost: servedBy ? (tokens / 1000) * servedBy.costPerThousandTokens : 0,
		at: described.wallClock,
	};
};

const resultOf = (end: StreamEnd): RequestRecord['result'] => {
	switch (end.kind) {
		case 'complete': {
			return 'answered';
		}

		case 'broken': {
			return end.error.kind;
		}

		case 'canceled': {
			return 'canceled';
		}
	}
};

async function* watch(
	pieces: AsyncGenerator<string, StreamEnd, void>,
	onEnd: (end: StreamEnd, firstPieceAt: number) => void,
	clock: () => number,
): AsyncGenerator<string, StreamEnd, void> {
	let firstPieceAt = 0;
	let end: StreamEnd = {kind: 'canceled', tokens: 0};
	try {
		for (;;) {
			const next = await pieces.next();
			if (next.done) {
				end = next.value;
				return end;
			}

			firstPieceAt ||= clock();
			yield next.value;
		}
	} finally {
		await pieces.return(end);
		onEnd(end, firstPieceAt);
	}
}

/**
Wraps an answer so that `onEnd` is called once, when the answer or its stream has ended.
*/
export const onAnswerEnd = (
	answer: Answer,
	onEnd: () => void,
	clock: () => number,
): Answer => {
	if (answer.kind === 'stream') {
		return {...answer, pieces: watch(answer.pieces, onEnd, clock)};
	}

	onEnd();
	return answer;
};
