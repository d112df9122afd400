import {Buffer} from 'node:buffer';
import type {UpstreamHead, UpstreamListener} from '../../backends/index.ts';
import {forwardableHeaders} from '../wire-headers.ts';
import {recordStatements} from './record-statements.ts';
import type {DeliveryContext} from './delivery-context.ts';
import {
	hasAttemptLeft,
	type CurrentCall,
	type DeliveryRun,
} from './delivery-run.ts';
import {closeRun, endCurrentCall, recordRun} from './end-run.ts';
import {createEventRelay} from './event-relay.ts';
import {
	handleCallFailure,
	failCall,
	handleNodeRefusal,
	allowNodeAgain,
	reportBrokenCall,
} from './fail-call.ts';
import {decodeHopResult, hopHeaderNames, hopHeaders} from './hop.ts';
import {judgeHead} from './judge-head.ts';

/**
The longest plain answer that is kept until it is whole, in bytes.
*/
export const maximumAnswerBytes = 16_777_216;

/**
Builds what passes the answer of a call on. It hears nothing once the request has another call.
*/
export const createAnswerListener = (
	context: DeliveryContext,
	run: DeliveryRun,
	current: CurrentCall,
): UpstreamListener => {
	const chunks: Buffer[] = [];
	let size = 0;
	let head: UpstreamHead | undefined;
	let isStream = false;
	const isCurrent = () => run.current === current;

	return {
		onHead(given) {
			// Statements of the server hold whatever has become of the request.
			recordStatements(context, run, current, given);
			if (!isCurrent()) {
				return;
			}

			head = given;
			current.attempt?.recordActivity(context.clock());
			isStream = takeHead(context, run, current, given) === 'stream';
		},
		onData(chunk) {
			if (!isCurrent()) {
				return true;
			}

			if (isStream) {
				return isReadyForMore(context, run, current, chunk);
			}

			chunks.push(chunk);
			size += chunk.length;
			if (size > maximumAnswerBytes) {
				const reason = 'The answer is too long to be kept until it is whole';
				answerIsFaulty(context, run, reason);
			}

			return true;
		},
		onEnd() {
			if (!head || !isCurrent()) {
				return;
			}

			if (isStream) {
				endStream(context, run, current);
			} else {
				answerWhole(context, run, head, Buffer.concat(chunks, size));
			}
		},
		onFailure(failure) {
			if (isCurrent()) {
				handleCallFailure(context, run, current, failure);
			}
		},
	};
};

const takeHead = (
	context: DeliveryContext,
	run: DeliveryRun,
	current: CurrentCall,
	head: UpstreamHead,
): 'stream' | 'whole' | 'dropped' => {
	const hop = current.member ? decodeHopResult(head.header) : undefined;
	for (const server of hop?.tried ?? []) {
		run.excluded.add(server);
		run.triedServers.push(server);
	}

	if (hop?.kind === 'refused') {
		handleNodeRefusal(context, run, current, hop);
		return 'dropped';
	}

	const verdict = judgeHead(head, run.exchange, context.headers, {
		canRetry: canRetry(context, run, head),
		hasBegun: run.hasBegun,
	});
	switch (verdict.kind) {
		case 'whole': {
			noteRetry(context, run, head.status);
			current.attempt?.recordFirstEvent(context.clock());
			return 'whole';
		}

		case 'stream': {
			beginStream(context, run, head);
			return 'stream';
		}

		case 'fault': {
			run.hasFaultAnswer ||= head.status >= 500;
			allowNodeAgain(run, current);
			failCall(context, run, {...verdict.fault, reachedServer: true});
			return 'dropped';
		}
	}
};

const canRetry = (
	{clock, retryYield, without}: DeliveryContext,
	run: DeliveryRun,
	{status}: UpstreamHead,
): boolean =>
	run.isRepeatable &&
	hasAttemptLeft(run, clock()) &&
	(status < 500 ||
		without.has('retry-yield') ||
		retryYield.isWorthwhile(run.exchange.route.name));

const noteRetry = (
	{retryYield}: DeliveryContext,
	run: DeliveryRun,
	status: number,
): void => {
	if (run.hasFaultAnswer) {
		retryYield.record(run.exchange.route.name, status < 500);
	}
};

const beginStream = (
	{clock}: DeliveryContext,
	run: DeliveryRun,
	head: UpstreamHead,
): void => {
	const {route, lastEventId} = run.exchange;
	if (run.hasBegun) {
		run.relay?.restart();
		return;
	}

	run.hasBegun = true;
	run.firstByteAt = clock();
	run.status = head.status;
	if (route.isResumable) {
		run.relay = createEventRelay(lastEventId);
	}

	run.sink.begin(
		head.status,
		answerHeaders(run, head),
		run.triedServers.at(-1) ?? '',
	);
};

const isReadyForMore = (
	context: DeliveryContext,
	run: DeliveryRun,
	current: CurrentCall,
	chunk: Buffer,
): boolean => {
	const now = context.clock();
	current.attempt?.recordFirstEvent(now);
	notePiece(run, current, now);
	const passed = run.relay ? run.relay.push(chunk) : chunk;
	if (passed === undefined) {
		answerIsFaulty(context, run, 'An event of the stream is missing');
		return true;
	}

	if (passed.length === 0 || run.hasCallerLeft || run.sink.write(passed)) {
		return true;
	}

	run.sink.onDrain(() => {
		current.open().resume();
	});
	return false;
};

// Engines that read long prompts between the tokens of a stream show in its pauses.
const notePiece = (
	run: DeliveryRun,
	{attempt}: CurrentCall,
	now: number,
): void => {
	if (run.lastChunkAt !== undefined) {
		const pauseMs = now - run.lastChunkAt;
		run.longestPauseMs = Math.max(run.longestPauseMs, pauseMs);
		attempt?.recordChunkInterval(pauseMs, now);
	}

	run.lastChunkAt = now;
};

const endStream = (
	context: DeliveryContext,
	run: DeliveryRun,
	current: CurrentCall,
): void => {
	if (run.relay?.hasPartialEvent()) {
		reportBrokenCall(context, run, current);
		answerIsFaulty(context, run, 'The stream ended in the middle of an event');
		return;
	}

	run.outcome = 'ran';
	endCurrentCall(context, run, 'answered', false);
	closeRun(context, run);
	context.onServed(run.exchange);
	run.sink.end();
	recordRun(context, run, {result: 'answered', status: run.status, reason: ''});
};

const answerWhole = (
	context: DeliveryContext,
	run: DeliveryRun,
	head: UpstreamHead,
	body: Buffer,
): void => {
	run.outcome = 'ran';
	run.firstByteAt = context.clock();
	// Asked before the call ends, for it names the server.
	const headers = answerHeaders(run, head);
	const end = head.status >= 500 ? 'failed' : 'answered';
	endCurrentCall(context, run, end, false);
	closeRun(context, run);
	context.onServed(run.exchange);
	if (!run.hasCallerLeft) {
		run.sink.begin(
			head.status,
			[...headers, 'content-length', String(body.length)],
			run.triedServers.at(-1) ?? '',
		);
		run.sink.end(body);
	}

	recordRun(context, run, {
		result: 'answered',
		status: head.status,
		reason: '',
	});
};

const answerIsFaulty = (
	context: DeliveryContext,
	run: DeliveryRun,
	reason: string,
): void => {
	failCall(context, run, {
		outcome: 'ran',
		reason,
		reachedServer: true,
		end: 'failed',
	});
};

const answerHeaders = (
	{current, exchange}: DeliveryRun,
	{rawHeaders}: UpstreamHead,
): readonly string[] => {
	const life = exchange.hop && current?.incarnationId;
	return [
		...forwardableHeaders(rawHeaders, hopHeaderNames),
		...(life === undefined ? [] : [hopHeaders.life, life]),
	];
};
