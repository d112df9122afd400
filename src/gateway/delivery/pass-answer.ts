import type {Buffer} from 'node:buffer';
import type {UpstreamHead, UpstreamListener} from '../../backends/index.ts';
import {
	bodyFramingOf,
	createEventScanner,
	isEventStream,
	judgeBodyEnd,
	type EventScanner,
} from '../../response-bodies/index.ts';
import {createByteCollector, encodeHeaderText} from '../../shared/index.ts';
import {forwardableHeaders} from '../wire-headers.ts';
import {createStreamProgress, type StreamProgress} from './stream-progress.ts';
import {recordStatements} from './record-statements.ts';
import type {DeliveryContext} from './delivery-context.ts';
import {
	hasAttemptLeft,
	type CurrentCall,
	type DeliveryRun,
} from './delivery-run.ts';
import {closeRun, dropHedge, endCurrentCall, recordRun} from './end-run.ts';
import {createEventRelay} from './event-relay.ts';
import {
	handleCallFailure,
	failCall,
	handleNodeRefusal,
	allowNodeAgain,
	reportBrokenCall,
} from './fail-call.ts';
import {
	decodeHopResult,
	decodeSoftwareVersion,
	encodeSoftwareVersion,
	hopHeaderNames,
	hopHeaders,
} from './hop.ts';
import {judgeHead} from './judge-head.ts';

/**
Creates the listener that passes on the response of a call. Once the request has another call, the listener ignores
the rest of the response.

@param context
@param run
@param current
@param hasRecordedStatements Whether the statements in the head have been processed before.
*/
export const createAnswerListener = (
	context: DeliveryContext,
	run: DeliveryRun,
	current: CurrentCall,
	hasRecordedStatements = false,
): UpstreamListener => {
	const collector = createByteCollector();
	let head: UpstreamHead | undefined;
	let isStream = false;
	let scanner: EventScanner | undefined;
	let progress: StreamProgress | undefined;
	const isCurrent = () => run.current === current;

	return {
		onHead(received) {
			// The statements of the server are valid regardless of the state of the request.
			if (!hasRecordedStatements) {
				recordStatements(context, run, current, received);
			}

			if (!isCurrent()) {
				return;
			}

			head = received;
			current.lastByteAt = context.clock();
			current.attempt?.recordActivity(context.clock());
			const framing = bodyFramingOf(run.exchange.method, received);
			run.body = {framing, events: undefined};
			const disposition = handleHead(context, run, current, received);
			if (disposition === 'dropped') {
				return;
			}

			isStream = disposition === 'stream';
			if (!isStream) {
				current.kept = context.answerBuffer.keep((reason) => {
					collector.clear();
					failAnswer(context, run, reason);
				});
				return;
			}

			// The relay of a resumable stream scans its events itself.
			scanner =
				!run.relay && isEventStream(received.header('content-type'))
					? createEventScanner()
					: undefined;
			const events = scanner ?? run.relay?.progress();
			progress = events && createStreamProgress(events);
			// Of streams that are not resumable, only this framing leaves the end open.
			const isEndOpen = framing === 'close' || run.relay !== undefined;
			run.body = {framing, events: isEndOpen ? events : undefined};
		},
		onData(chunk) {
			if (!isCurrent()) {
				return true;
			}

			dropHedge(context, run, 'abandoned');
			current.lastByteAt = context.clock();
			scanner?.scan(chunk);
			if (isStream) {
				const isReady = isReadyForMore(context, run, current, chunk);
				if (isCurrent() && progress?.recordChunk(chunk.length) === false) {
					failAnswer(context, run, 'The stream sends bytes but no events');
				}

				return isReady;
			}

			collector.add(chunk);
			current.kept?.add(chunk.length);
			return true;
		},
		onEnd() {
			if (!head || !isCurrent()) {
				return;
			}

			const end = judgeBodyEnd(run.body!);
			if (end.kind === 'broken') {
				reportBrokenCall(context, run, current);
				failAnswer(context, run, end.reason);
			} else if (isStream) {
				endStream(context, run);
			} else {
				sendBuffered(context, run, head, collector.bytes());
			}
		},
		onFailure(failure) {
			if (isCurrent()) {
				handleCallFailure(context, run, current, failure);
			}
		},
	};
};

const handleHead = (
	context: DeliveryContext,
	run: DeliveryRun,
	current: CurrentCall,
	head: UpstreamHead,
): 'stream' | 'whole' | 'dropped' => {
	const hop = current.member ? decodeHopResult(head.header) : undefined;
	if (hop) {
		run.currentVersion = decodeSoftwareVersion(head.header);
	}

	for (const server of hop?.tried ?? []) {
		run.excluded.add(server);
		run.triedServers.push(server);
	}

	if (hop?.kind === 'refused') {
		handleNodeRefusal(context, run, current, hop);
		return 'dropped';
	}

	if (
		run.origin &&
		run.currentVersion !== undefined &&
		run.currentVersion !== run.origin.softwareVersion
	) {
		failOtherVersion(context, run, current);
		return 'dropped';
	}

	const verdict = judgeHead(head, run.exchange, context.headers, {
		canRetry: canRetry(context, run, head),
		hasBegun: run.hasBegun,
	});
	switch (verdict.kind) {
		case 'whole': {
			dropHedge(context, run, 'abandoned');
			recordRetryResult(context, run, head.status);
			current.attempt?.recordFirstEvent(context.clock());
			return 'whole';
		}

		case 'stream': {
			dropHedge(context, run, 'abandoned');
			beginStream(context, run, head);
			return 'stream';
		}

		case 'fault': {
			run.hasDiscardedServerError ||= head.status >= 500;
			allowNodeAgain(run, current);
			failCall(context, run, {...verdict.fault, reachedServer: true});
			return 'dropped';
		}
	}
};

// A node that knows a later state of the registry may state another version than the one for which the request was forwarded.
const failOtherVersion = (
	context: DeliveryContext,
	run: DeliveryRun,
	current: CurrentCall,
): void => {
	allowNodeAgain(run, current);
	failCall(context, run, {
		outcome: 'ran',
		reason: `Software ${run.currentVersion} ran the request instead of ${run.origin?.softwareVersion}`,
		reachedServer: true,
		end: 'failed',
	});
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

const recordRetryResult = (
	{retryYield}: DeliveryContext,
	run: DeliveryRun,
	status: number,
): void => {
	if (run.hasDiscardedServerError) {
		retryYield.record(run.exchange.route.name, status < 500);
	}
};

const beginStream = (
	context: DeliveryContext,
	run: DeliveryRun,
	head: UpstreamHead,
): void => {
	const {route, lastEventId} = run.exchange;
	if (run.hasBegun) {
		run.relay?.restart();
		return;
	}

	run.hasBegun = true;
	run.firstByteAt = context.clock();
	run.status = head.status;
	if (route.isResumable) {
		run.relay = createEventRelay(
			lastEventId,
			context.eventNumbering.of(run.exchange.service, run.currentVersion),
		);
	}

	run.sink.begin(
		head.status,
		answerHeaders(run, head),
		run.triedServers.at(-1) ?? '',
	);
};

// Relays a chunk. Returns false if the receiver cannot accept more until it drains.
const isReadyForMore = (
	context: DeliveryContext,
	run: DeliveryRun,
	current: CurrentCall,
	chunk: Buffer,
): boolean => {
	const now = context.clock();
	current.attempt?.recordFirstEvent(now);
	recordChunk(run, current, now);
	const {bytes, isNextMissing} = run.relay?.push(chunk) ?? {
		bytes: chunk,
		isNextMissing: false,
	};
	const isReady = isReadyAfterWriting(context, run, bytes);
	if (isNextMissing) {
		failAnswer(context, run, missingEvent);
		return true;
	}

	if (!isReady) {
		run.sink.onDrain(() => {
			current.open().resume();
		});
	}

	return isReady;
};

const missingEvent = 'An event of the stream is missing';

const isReadyAfterWriting = (
	context: DeliveryContext,
	run: DeliveryRun,
	bytes: Buffer,
): boolean => {
	if (bytes.length === 0) {
		return true;
	}

	recordWriter(context, run);
	return run.hasCallerLeft || run.sink.write(bytes);
};

const recordWriter = (context: DeliveryContext, run: DeliveryRun): void => {
	const {currentVersion, softwareVersions} = run;
	run.hasPassedEvent = true;
	if (currentVersion === undefined) {
		return;
	}

	if (softwareVersions.at(-1) !== currentVersion) {
		softwareVersions.push(currentVersion);
	}

	if (!run.origin) {
		bindToVersion(context, run, currentVersion);
	}
};

// The record is sent before the event, because the caller may take the stream up from then on.
const bindToVersion = (
	{origins}: DeliveryContext,
	run: DeliveryRun,
	softwareVersion: string,
): void => {
	const {exchange} = run;
	run.origin = {service: exchange.service, softwareVersion};
	const isNewStream =
		exchange.lastEventId === undefined && exchange.hop === undefined;
	if (isNewStream && exchange.route.isResumable) {
		origins.record(exchange, run.origin);
	}
};

// Pauses in a stream reveal that its engine prefills long prompts between the tokens of the stream.
const recordChunk = (
	run: DeliveryRun,
	{attempt}: CurrentCall,
	now: number,
): void => {
	if (run.lastChunkAt !== undefined) {
		const pauseMs = now - run.lastChunkAt;
		run.longestPauseMs = Math.max(run.longestPauseMs, pauseMs);
		attempt?.recordChunkInterval(pauseMs, now);
	}

	run.chunks += 1;
	run.lastChunkAt = now;
};

const endStream = (context: DeliveryContext, run: DeliveryRun): void => {
	const held = run.relay?.end();
	if (held?.isNextMissing) {
		failAnswer(context, run, missingEvent);
		return;
	}

	if (held) {
		isReadyAfterWriting(context, run, held.bytes);
	}

	run.outcome = 'ran';
	endCurrentCall(context, run, 'answered', false);
	closeRun(context, run);
	context.onServed(run.exchange, run.status);
	run.sink.end();
	recordRun(context, run, {result: 'answered', status: run.status, reason: ''});
};

const sendBuffered = (
	context: DeliveryContext,
	run: DeliveryRun,
	head: UpstreamHead,
	body: Buffer,
): void => {
	run.outcome = 'ran';
	run.firstByteAt = context.clock();
	// Reads the incarnation of the server from the call, so this must precede the end of the call.
	const headers = answerHeaders(run, head);
	const end = head.status >= 500 ? 'failed' : 'answered';
	endCurrentCall(context, run, end, false);
	closeRun(context, run);
	context.onServed(run.exchange, head.status);
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

const failAnswer = (
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
	{current, currentVersion, exchange}: DeliveryRun,
	{rawHeaders}: UpstreamHead,
): readonly string[] => {
	const incarnationId = exchange.hop && current?.incarnationId;
	return [
		...forwardableHeaders(rawHeaders, hopHeaderNames),
		...(incarnationId === undefined
			? []
			: [
					hopHeaders.life,
					encodeHeaderText(incarnationId),
					...encodeSoftwareVersion(currentVersion),
				]),
	];
};
