import assert from 'node:assert/strict';
import {test} from 'node:test';
import {partFingerprintOf} from '../../src/quarantine/index.ts';
import type {DeliveryRecord} from '../../src/gateway/exchange.ts';
import {
	answeredSample,
	createGatewayObserver,
	incompleteLinesPerSecond,
	linesPerSecond,
	streamLinesPerSecond,
} from '../../src/gateway/gateway-observer.ts';
import type {LogContext} from '../../src/logging/index.ts';
import {exchangeOf, knownServerOf, routeOf} from './fixtures.ts';

const setUp = () => {
	const lines: Array<{readonly message: string; readonly facts: LogContext}> =
		[];
	const write = (facts: LogContext, message: string) => {
		lines.push({facts, message});
	};

	const observer = createGatewayObserver({
		logger: {debug: write, info: write, warn: write, error: write},
		limitStates: () =>
			new Map([
				[
					'account',
					{
						admissionFraction: 0.5,
						usage: {requested: 40, admitted: 300},
						ageMs: 10,
					},
				],
			]),
		registeredServers: () => [
			{...knownServerOf('a', 1).server, softwareVersion: 'v1'},
			{...knownServerOf('b', 1).server, softwareVersion: 'v2'},
			{...knownServerOf('c', 1).server, softwareVersion: 'v2'},
		],
		gauges: {someGauge: () => 7},
		logContext: () => ({routesVersion: 3, registryAgeMs: 250}),
	});
	observer.tick(1000);
	return {observer, lines};
};

const recordOf = (change: Partial<DeliveryRecord> = {}): DeliveryRecord => ({
	exchange: exchangeOf(),
	result: 'answered',
	status: 200,
	reason: '',
	outcome: 'ran',
	steps: ['server a'],
	firstByteMs: 20,
	totalMs: 40,
	receivedRoutesVersion: 2,
	incomplete: undefined,
	waitedMs: 0,
	longestPauseMs: 0,
	isQuarantined: false,
	bodyFraming: 'chunked',
	streamTail: undefined,
	stream: undefined,
	...change,
});

test('a failed or late request is logged with its id, steps, route version and registry age', () => {
	const {observer, lines} = setUp();
	observer.record(recordOf({result: 'refused', outcome: 'not-run'}));
	observer.record(recordOf({firstByteMs: 900}));
	assert.deepEqual(
		lines.map(({facts}) => [
			facts.requestId,
			facts.steps,
			facts.routesVersion,
			facts.registryAgeMs,
		]),
		[
			['request-1', 'server a', 3, 250],
			['request-1', 'server a', 3, 250],
		],
	);
});

test('log lines are limited per second, answered requests are dropped first, and dropped lines are counted', async () => {
	const {observer, lines} = setUp();
	for (let index = 0; index < answeredSample * linesPerSecond; index += 1) {
		observer.record(recordOf());
	}

	assert.equal(lines.length, linesPerSecond / 2);
	for (let index = 0; index < linesPerSecond; index += 1) {
		observer.record(recordOf({result: 'refused', outcome: 'not-run'}));
	}

	assert.equal(lines.length, linesPerSecond);
	assert.match(
		await observer.metrics(),
		new RegExp(`quillford_log_lines_dropped_total ${linesPerSecond / 2}`, 'v'),
	);
	observer.tick(2000);
	observer.record(recordOf({result: 'broken'}));
	assert.equal(lines.length, linesPerSecond + 1);
});

test('refusals do not displace the line of a request that was sent and received no complete response', async () => {
	const {observer, lines} = setUp();
	for (let index = 0; index < 2 * linesPerSecond; index += 1) {
		observer.record(recordOf({result: 'refused', outcome: 'not-run'}));
	}

	const incomplete = {
		endedBy: 'backend-server',
		lastByteMs: 120.4,
		silentMs: 1890,
	} as const;
	for (let index = 0; index <= incompleteLinesPerSecond; index += 1) {
		observer.record(recordOf({result: 'broken', incomplete}));
	}

	assert.equal(lines.length, linesPerSecond + incompleteLinesPerSecond);
	const {facts} = lines.at(-1)!;
	assert.deepEqual(
		[
			facts.endedBy,
			facts.lastByteMs,
			facts.silentMs,
			facts.receivedRoutesVersion,
			facts.routesVersion,
		],
		['backend-server', 120, 1890, 2, 3],
	);
	assert.match(
		await observer.metrics(),
		/incomplete_responses_total\{route="route",ender="backend-server"\} 41/v,
	);
});

const streamOf = (change: Partial<DeliveryRecord> = {}): DeliveryRecord =>
	recordOf({
		exchange: exchangeOf({
			route: routeOf({kind: 'streaming'}),
			prompt: {
				parts: [],
				tokensIn: 600,
				tokensOut: 952,
				expectedTokensOut: 290,
			},
		}),
		stream: {
			end: 'complete',
			loadAtStart: 12,
			remainingAtStartMs: 11_900,
			chunks: 36,
			softwareVersions: ['v1'],
			chunkIntervalMs: 41.4,
		},
		...change,
	});

test('each stream is logged with its size, load at start, pace and the cause of its end', () => {
	const {observer, lines} = setUp();
	observer.record(streamOf());
	observer.record(
		streamOf({
			result: 'broken',
			stream: {...streamOf().stream!, end: 'deadline'},
		}),
	);
	assert.deepEqual(
		lines.map(({facts}) => [
			facts.size,
			facts.expectedTokensOut,
			facts.loadAtStart,
			facts.remainingAtStartMs,
			facts.chunks,
			facts.chunkIntervalMs,
			facts.end,
		]),
		[
			[3500, 290, 12, 11_900, 36, 41, 'complete'],
			[3500, 290, 12, 11_900, 36, 41, 'deadline'],
		],
	);
});

test('lines about streams that ended well are limited and do not use up the lines of failed requests', () => {
	const {observer, lines} = setUp();
	for (let index = 0; index < streamLinesPerSecond * 2; index += 1) {
		observer.record(streamOf());
	}

	assert.equal(lines.length, streamLinesPerSecond);
	for (let index = 0; index < linesPerSecond; index += 1) {
		observer.record(recordOf({result: 'refused', outcome: 'not-run'}));
	}

	assert.equal(lines.length, streamLinesPerSecond + linesPerSecond);
});

test('streams are counted by route, size class and end', async () => {
	const {observer} = setUp();
	observer.record(streamOf());
	assert.match(
		await observer.metrics(),
		/quillford_streams_total\{route="route",tokens="512",end="complete"\} 1/v,
	);
});

test('a complete stream with events of several software versions is logged and counted', async () => {
	const {observer, lines} = setUp();
	for (let index = 0; index < streamLinesPerSecond; index += 1) {
		observer.record(streamOf());
	}

	const exchange = exchangeOf({
		continuedRequestId: 'request-0',
		lastEventId: '4',
	});
	observer.record(
		streamOf({
			exchange,
			stream: {...streamOf().stream!, softwareVersions: ['v1', 'v2']},
		}),
	);
	const {facts} = lines.at(-1)!;
	assert.deepEqual(
		[facts.softwareVersions, facts.continues, facts.resumedAfter],
		['v1 v2', 'request-0', '4'],
	);
	assert.match(
		await observer.metrics(),
		/quillford_streams_of_several_versions_total 1/v,
	);
});

test('an answered stream that ends inside an event is always logged, and bodies are counted by framing and tail', async () => {
	const {observer, lines} = setUp();
	for (let index = 0; index < streamLinesPerSecond; index += 1) {
		observer.record(streamOf({bodyFraming: 'close'}));
	}

	observer.record(streamOf({bodyFraming: 'close', streamTail: 'inside-event'}));
	const {bodyFraming, streamTail} = lines.at(-1)!.facts;
	assert.deepEqual(
		[lines.length, bodyFraming, streamTail],
		[streamLinesPerSecond + 1, 'close', 'inside-event'],
	);
	assert.match(
		await observer.metrics(),
		/quillford_response_bodies_total\{framing="close",tail="inside-event",result="answered"\} 1/v,
	);
});

test('the line of a request in quarantine has the parts of its prompt and their fingerprints', () => {
	const {observer, lines} = setUp();
	const prompt = {
		parts: ['common', 'own'].map((id) => ({id, tokens: 1})),
		tokensIn: 2,
		tokensOut: 1,
		expectedTokensOut: undefined,
	};
	const exchange = exchangeOf({prompt});
	observer.record(
		recordOf({
			exchange,
			result: 'refused',
			outcome: 'not-run',
			isQuarantined: true,
		}),
	);
	const {promptParts, partFingerprints} = lines.at(-1)!.facts;
	assert.deepEqual(
		[promptParts, partFingerprints],
		['common own', partFingerprintOf('engine', 'common')],
	);
});

test('servers are exposed by service, zone and version of their software', async () => {
	const {observer} = setUp();
	assert.match(
		await observer.metrics(),
		/quillford_registered_servers\{service="engine",zone="zone-a",version="v2"\} 2/v,
	);
});

test('metrics are exposed as counters, histograms and gauges', async () => {
	const {observer} = setUp();
	observer.record(recordOf());
	observer.rejected('request-2', 'no route', 404);
	const text = await observer.metrics();
	assert.match(
		text,
		/quillford_requests_total\{route="route",result="answered",status="200"\} 1/v,
	);
	assert.match(text, /quillford_rejected_total\{status="404"\} 1/v);
	assert.match(
		text,
		/quillford_first_byte_milliseconds_bucket\{le="25",route="route"\} 1/v,
	);
	assert.match(text, /quillford_some_gauge 7/v);
});

test('requests are counted by account, and the limit state of accounts is exposed', async () => {
	const {observer} = setUp();
	observer.admission('account', {kind: 'admitted'}, 0);
	observer.admission('account', {kind: 'limited', retryAfterSeconds: 1}, 0);
	const text = await observer.metrics();
	assert.match(
		text,
		/client_requests_total\{client="account",verdict="limited"\} 1/v,
	);
	assert.match(text, /client_limit_part\{client="account"\} 0.5/v);
	assert.match(text, /client_limit_asked_per_second\{client="account"\} 40/v);
	assert.match(text, /client_limit_passed_in_window\{client="account"\} 300/v);
});
