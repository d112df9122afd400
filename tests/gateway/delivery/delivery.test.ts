import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import type {UpstreamChooser} from '../../../src/gateway/choosing/choose-upstream.ts';
import {leastUrgent} from '../../../src/gateway/wire-headers.ts';
import type {QuarantineStatus} from '../../../src/quarantine/index.ts';
import {hopHeaders} from '../../../src/gateway/delivery/hop.ts';
import {assumedReleasesPerSecond} from '../../../src/gateway/delivery/capacity-forecast.ts';
import {maximumIsolationWaitMs} from '../../../src/gateway/delivery/wait-for-capacity.ts';
import {fingerprintOfExchange} from '../../../src/gateway/fingerprint-of-exchange.ts';
import {memberOf} from '../../fixtures.ts';
import {names} from '../fixtures.ts';
import {
	answer,
	createSink,
	exchangeFor,
	setUp,
	signed,
	type Sent,
} from './delivery-scene.ts';

test('a complete response is passed on with its status', () => {
	const {deliveries, sent, records} = setUp(['a']);
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor({}), sink);
	answer(sent[0]!, 200, signed);
	sent[0]!.listener.onData(Buffer.from('hello'));
	assert.equal(seen.status, 0);
	sent[0]!.listener.onEnd();
	assert.deepEqual(
		[seen.status, seen.text, seen.isEnded],
		[200, 'hello', true],
	);
	assert.equal(records[0]?.result, 'answered');
	assert.equal(deliveries.count(), 0);
});

test('a server receives the urgency of a request, capped at the lowest one that servers distinguish', () => {
	for (const [priority, rank] of [
		[0, '0'],
		[4, '4'],
		[leastUrgent + 5, String(leastUrgent)],
	] as const) {
		const {deliveries, sent} = setUp(['a']);
		deliveries.deliver(exchangeFor({priority}), createSink().sink);
		const {headers} = sent[0]!.call;
		assert.equal(headers[headers.indexOf(names.urgency) + 1], rank);
	}
});

test('a server receives the client account of a request, and no header if there is none', () => {
	const {deliveries, sent} = setUp(['a', 'b']);
	const client = {name: 'account', keyDigest: 'digest'};
	deliveries.deliver(exchangeFor({}, {client}), createSink().sink);
	deliveries.deliver(exchangeFor({}), createSink().sink);
	const [withClient, withoutClient] = sent.map(({call}) => call.headers);
	assert.equal(withClient?.[withClient.indexOf(names.client) + 1], 'account');
	assert.equal(withClient?.includes('digest'), false);
	assert.equal(withoutClient?.includes(names.client), false);
});

test('a request whose client key is revoked while it is queued is refused as not run', () => {
	let isKnown = true;
	const {deliveries, sent} = setUp(['a'], 1000, true, undefined, () => isKnown);
	const client = {name: 'account', keyDigest: 'digest'};
	// Two requests fill the capacity of the server.
	deliveries.deliver(exchangeFor({}, {client}), createSink().sink);
	deliveries.deliver(exchangeFor({}, {client}), createSink().sink);
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor({}, {client}), sink);
	assert.equal(deliveries.queuedCount(), 1);
	isKnown = false;
	answer(sent[0]!, 200, signed);
	sent[0]!.listener.onEnd();
	assert.equal(seen.error?.kind, 'unauthenticated');
	assert.equal(seen.error.outcome, 'not-run');
	assert.equal(sent.length, 2);
});

test('a request that must not be repeated is never retried once any of it was sent', () => {
	const {deliveries, sent} = setUp(['a', 'b']);
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor({kind: 'non-idempotent'}), sink);
	sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	assert.equal(sent.length, 1);
	assert.equal(seen.error?.kind, 'attempt-failed');
	assert.equal(seen.error.outcome, 'unknown');
});

test('a request that has provably not run goes to another server, even if it must not be repeated', () => {
	const {deliveries, sent} = setUp(['a', 'b']);
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor({kind: 'non-idempotent'}), sink);
	answer(sent[0]!, 503, {'x-test-not-run': '1'});
	assert.equal(sent.length, 2);
	assert.notEqual(sent[0]!.call.key, sent[1]!.call.key);
	answer(sent[1]!, 503, {'x-test-not-run': '1'});
	assert.equal(seen.error?.outcome, 'not-run');
	assert.ok((seen.error.retryAfterSeconds ?? 0) > 0);
});

test('a request goes to no more servers than its route allows', () => {
	const {deliveries, sent} = setUp(['a', 'b', 'c']);
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor({maximumAttempts: 2}), sink);
	sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	sent[1]!.listener.onFailure({wasSent: true, reason: 'reset'});
	assert.equal(sent.length, 2);
	assert.equal(seen.error?.kind, 'attempt-failed');
});

test('a request is not retried without retry budget', () => {
	const {deliveries, sent} = setUp(['a', 'b'], 0);
	const {sink} = createSink();
	deliveries.deliver(exchangeFor({}), sink);
	sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	assert.equal(sent.length, 1);
});

test('a refusal after an attempt that may have run never claims that the request did not run', () => {
	const {deliveries, sent} = setUp(['a', 'b']);
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor({}), sink);
	sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	answer(sent[1]!, 503, {'x-test-not-run': '1'});
	assert.equal(seen.error?.outcome, 'unknown');
	assert.equal(seen.error.kind, 'attempt-failed');
});

// Guards against a request that fails at one server after the other and makes each of them seem unreachable.
test('a request that no server could be sent is refused at once as not run, and no server is blamed', () => {
	const blamed: string[] = [];
	const {deliveries, sent, records} = setUp(
		['a', 'b', 'c'],
		undefined,
		undefined,
		undefined,
		undefined,
		undefined,
		{
			onServerFailure(server) {
				blamed.push(server);
			},
		},
	);
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor({}), sink);
	sent[0]!.listener.onFailure({
		wasSent: false,
		isUnsendable: true,
		reason: 'invalid header',
	});
	assert.deepEqual([sent.length, blamed], [1, []]);
	assert.deepEqual(
		[seen.error?.outcome, records[0]?.result],
		['not-run', 'refused'],
	);
});

test('a request is queued until there is capacity, and then sent', () => {
	const {deliveries, sent} = setUp(['a']);
	const seen = [createSink(), createSink(), createSink()];
	for (const {sink} of seen) {
		deliveries.deliver(exchangeFor({}), sink);
	}

	assert.equal(sent.length, 2);
	answer(sent[0]!, 200, signed);
	sent[0]!.listener.onEnd();
	assert.equal(sent.length, 3);
	assert.equal(seen[2]!.seen.error, undefined);
});

test('a request stays queued while it can still be answered in time, and is then refused as not run', () => {
	const {deliveries, pass} = setUp(['a']);
	const seen = [createSink(), createSink(), createSink()];
	for (const {sink} of seen) {
		deliveries.deliver(exchangeFor({}), sink);
	}

	// The route has no samples, so half of the four seconds is reserved for the response.
	pass(1800);
	assert.equal(deliveries.queuedCount(), 1);
	pass(200);
	const {error} = seen[2]!.seen;
	assert.equal(error?.kind, 'overloaded');
	assert.equal(error.outcome, 'not-run');
});

test('a request is refused at once if no capacity is predicted in time, and later ones get a longer retry time', () => {
	const {deliveries} = setUp(['a']);
	const retryTimes: number[] = [];
	const maximumQueued = 2 * assumedReleasesPerSecond;
	for (let index = 0; index < maximumQueued + 4; index += 1) {
		const {sink, seen} = createSink();
		deliveries.deliver(exchangeFor({}), sink);
		if (seen.error) {
			assert.equal(seen.error.outcome, 'not-run');
			retryTimes.push(seen.error.retryAfterSeconds ?? 0);
		}
	}

	// Two requests run. Of the others, those that get capacity within two seconds are queued.
	assert.equal(deliveries.queuedCount(), maximumQueued - 1);
	assert.equal(retryTimes.length, 3);
	assert.ok(retryTimes[0]! < retryTimes[1]! && retryTimes[1]! < retryTimes[2]!);
});

test('a request without any server is refused at once, unless the node does not know the others yet', () => {
	for (const hasSettled of [true, false]) {
		const {deliveries} = setUp([], 1000, hasSettled);
		const {sink, seen} = createSink();
		deliveries.deliver(exchangeFor({}), sink);
		assert.equal(seen.error?.kind, hasSettled ? 'overloaded' : undefined);
		assert.equal(
			seen.error?.message,
			hasSettled ? 'No backend server that may serve it is in use' : undefined,
		);
		assert.equal(deliveries.queuedCount(), hasSettled ? 0 : 1);
	}
});

test('a stream that its server ends just before the deadline counts as cut at the deadline', () => {
	const endAt = (milliseconds: number) => {
		const {deliveries, sent, records, pass} = setUp(['a']);
		const exchange = exchangeFor({kind: 'streaming'});
		deliveries.deliver(exchange, createSink().sink);
		answer(sent[0]!, 200, signed);
		pass(milliseconds);
		sent[0]!.listener.onFailure({wasSent: true, reason: 'other side closed'});
		return records[0]?.stream?.end;
	};

	assert.equal(endAt(exchangeFor({}).expiresAt - 5), 'deadline');
	assert.equal(endAt(1000), 'upstream-failure');
});

test('the record of a stream contains its status and its longest pause', () => {
	const {deliveries, sent, records, pass} = setUp(['a']);
	deliveries.deliver(exchangeFor({kind: 'streaming'}), createSink().sink);
	answer(sent[0]!, 206, signed);
	for (const [index, pauseMs] of [0, 10, 90, 20].entries()) {
		pass(pauseMs);
		sent[0]!.listener.onData(Buffer.from(`id: ${index}\ndata: x\n\n`));
	}

	sent[0]!.listener.onEnd();
	assert.equal(records[0]?.status, 206);
	assert.equal(records[0].longestPauseMs, 90);
});

test('a broken stream is continued after its last complete event if it is resumable', () => {
	const {deliveries, sent} = setUp(['a', 'b']);
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor({kind: 'streaming', isResumable: true}), sink);
	answer(sent[0]!, 200, signed);
	sent[0]!.listener.onData(Buffer.from('id: 1\ndata: x\n\nid: 2\nda'));
	sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	const {headers} = sent[1]!.call;
	assert.equal(headers[headers.indexOf('last-event-id') + 1], '1');
	answer(sent[1]!, 200, signed);
	sent[1]!.listener.onData(Buffer.from('id: 2\ndata: y\n\n'));
	sent[1]!.listener.onEnd();
	assert.equal(seen.text, 'id: 1\ndata: x\n\nid: 2\ndata: y\n\n');
	assert.ok(seen.isEnded);
});

test('a broken stream that is not resumable is aborted, never ended normally', () => {
	const {deliveries, sent} = setUp(['a', 'b']);
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor({kind: 'streaming'}), sink);
	answer(sent[0]!, 200, signed);
	sent[0]!.listener.onData(Buffer.from('id: 1\ndata: x\n\n'));
	sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	assert.equal(sent.length, 1);
	assert.ok(seen.isBroken);
	assert.ok(!seen.isEnded);
});

test('when a caller leaves, its stream is aborted or its queued request is dropped', () => {
	const {deliveries, sent} = setUp(['a']);
	const streams = [createSink(), createSink(), createSink()];
	const handles = streams.map(({sink}) =>
		deliveries.deliver(exchangeFor({kind: 'streaming'}), sink),
	);
	handles[2]!.callerLeft();
	handles[0]!.callerLeft();
	assert.ok(sent[0]!.isAborted);
	assert.equal(sent.length, 2);
});

test('a retry carries the remaining time that is left then, and the gateway sets the reserved headers', () => {
	const {deliveries, sent, pass} = setUp(['a', 'b']);
	const {sink} = createSink();
	deliveries.deliver(exchangeFor({}), sink);
	pass(1000);
	sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	const remainingTimes = sent.map(({call: {headers}}) =>
		Number(headers[headers.indexOf('x-test-remaining') + 1]),
	);
	assert.deepEqual(remainingTimes, [4000, 3000]);
	assert.ok(sent[1]!.call.headers.includes('x-test-expected'));
});

// Chooses the only other node until the request has tried it.
const chooseOtherNode: UpstreamChooser = (_exchange, {members}) =>
	members.has('node-2')
		? {kind: 'none'}
		: {kind: 'peer', member: memberOf('node-2', 'far'), region: 'far'};

// Guards against a region that seems full because one of its nodes is leaving.
test('a request that a leaving node refuses is sent to another node of that region', () => {
	const fullRegions: number[] = [];
	const choose: UpstreamChooser = (_exchange, {members, regions}) => {
		fullRegions.push(regions.size);
		const id = members.has('node-2') ? 'node-3' : 'node-2';
		return {kind: 'peer', member: memberOf(id, 'far'), region: 'far'};
	};

	for (const [leaving, full] of [
		['true', 0],
		['false', 1],
	] as const) {
		const {deliveries, sent} = setUp([], 1000, true, choose);
		deliveries.deliver(exchangeFor({}), createSink().sink);
		answer(sent[0]!, 503, {
			[hopHeaders.result]: 'refused',
			[hopHeaders.outcome]: 'not-run',
			[hopHeaders.leaving]: leaving,
		});
		assert.equal(sent.length, 2);
		assert.equal(fullRegions.at(-1), full);
	}
});

// Guards against responses that count as kept for ever, until no other one may be kept.
test('a response that is kept is released however its call ends', () => {
	const ends: ReadonlyArray<
		(listener: Sent['listener'], callerLeft: () => void) => void
	> = [
		(listener) => {
			listener.onEnd();
		},
		(listener) => {
			listener.onFailure({wasSent: true, reason: 'reset'});
		},
		(_listener, callerLeft) => {
			callerLeft();
		},
	];
	for (const end of ends) {
		const {deliveries, sent} = setUp(['a']);
		const delivery = deliveries.deliver(exchangeFor({}), createSink().sink);
		answer(sent[0]!, 200, signed);
		sent[0]!.listener.onData(Buffer.alloc(1000));
		assert.equal(deliveries.keptBytes(), 1000);
		end(sent[0]!.listener, delivery.callerLeft);
		assert.equal(deliveries.keptBytes(), 0);
	}
});

test('a node is tried again after a fault of its backend server', () => {
	const {deliveries, sent} = setUp([], 1000, true, chooseOtherNode);
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor({maximumAttempts: 3}), sink);
	answer(sent[0]!, 500, {
		...signed,
		[hopHeaders.result]: 'answered',
		[hopHeaders.tried]: 'a',
	});
	assert.equal(sent.length, 2);
	answer(sent[1]!, 503, {
		[hopHeaders.result]: 'refused',
		[hopHeaders.tried]: 'b',
		[hopHeaders.outcome]: 'not-run',
	});
	assert.equal(sent.length, 3);
	answer(sent[2]!, 200, {
		...signed,
		[hopHeaders.result]: 'answered',
		[hopHeaders.tried]: 'c',
	});
	sent[2]!.listener.onEnd();
	assert.equal(seen.status, 200);
});

test('a node is not tried again after its connection broke or after it had no capacity', () => {
	const broken = setUp([], 1000, true, chooseOtherNode);
	broken.deliveries.deliver(exchangeFor({}), createSink().sink);
	broken.sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	assert.equal(broken.sent.length, 1);
	const full = setUp([], 1000, true, chooseOtherNode);
	full.deliveries.deliver(exchangeFor({}), createSink().sink);
	answer(full.sent[0]!, 503, {[hopHeaders.result]: 'refused'});
	assert.equal(full.sent.length, 1);
});

test('if only another region has servers, a refusal states when their backoff ends', () => {
	const {deliveries, sent} = setUp([], 1000, true, chooseOtherNode);
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor({}), sink);
	answer(sent[0]!, 503, {
		[hopHeaders.result]: 'refused',
		[hopHeaders.outcome]: 'not-run',
		[hopHeaders.roomInMs]: '12000',
	});
	assert.equal(seen.error?.kind, 'overloaded');
	assert.equal(seen.error?.retryAfterSeconds, 12);
});

test('a server in backoff receives no requests, and refusals state when its backoff ends', () => {
	const {deliveries, sent} = setUp(['a']);
	const first = createSink();
	deliveries.deliver(exchangeFor({maximumAttempts: 3}), first.sink);
	answer(sent[0]!, 503, {'x-test-not-run': '1', 'retry-after': '20'});
	const second = createSink();
	deliveries.deliver(exchangeFor({}), second.sink);
	assert.equal(sent.length, 1);
	assert.equal(second.seen.error?.kind, 'overloaded');
	const seconds = second.seen.error?.retryAfterSeconds ?? 0;
	assert.ok(seconds >= 20 && seconds < 20.1, String(seconds));
});

test('a request whose deadline passed before the node processed it is sent nowhere', () => {
	const {deliveries, sent, pass} = setUp(['a']);
	pass(1200);
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor({}, {receivedAt: 0, expiresAt: 1000}), sink);
	assert.equal(sent.length, 0);
	assert.equal(deliveries.count(), 0);
	assert.equal(seen.error?.kind, 'overloaded');
});

const setUpQuarantineStatus = (
	quarantineStatus: () => QuarantineStatus,
	servers = ['a', 'b', 'c'],
) => setUp(servers, 1000, true, undefined, undefined, quarantineStatus);

test('a request in quarantine is refused as not run, with the remaining time of the quarantine', () => {
	const {deliveries, sent, records} = setUpQuarantineStatus(() => ({
		kind: 'quarantined',
		until: 90_000,
	}));
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor({}), sink);
	assert.equal(sent.length, 0);
	assert.equal(seen.error?.kind, 'quarantined');
	assert.equal(seen.error.outcome, 'not-run');
	assert.equal(seen.error.retryAfterSeconds, 90);
	assert.equal(records[0]?.isQuarantined, true);
});

test('a request that is quarantined while it runs is aborted, and may have run', () => {
	let current: QuarantineStatus = {kind: 'clear'};
	const {deliveries, sent} = setUpQuarantineStatus(() => current);
	const {sink, seen} = createSink();
	const exchange = exchangeFor({});
	deliveries.deliver(exchange, sink);
	current = {kind: 'quarantined', until: 90_000};
	deliveries.cancelQuarantined('the fingerprint of another');
	assert.equal(sent[0]!.isAborted, false);
	deliveries.cancelQuarantined(fingerprintOfExchange(exchange));
	assert.equal(sent[0]!.isAborted, true);
	assert.equal(seen.error?.kind, 'attempt-failed');
	assert.equal(seen.error.outcome, 'unknown');
});

test('a request with pending crash reports is held back, and sent when it is cleared', () => {
	let current: QuarantineStatus = {kind: 'pending'};
	const {deliveries, sent, pass} = setUpQuarantineStatus(() => current);
	deliveries.deliver(exchangeFor({}), createSink().sink);
	assert.equal(sent.length, 0);
	current = {kind: 'clear'};
	pass(40);
	assert.equal(sent.length, 1);
});

test('a request that was held back stays queued while servers are full, whatever is predicted', () => {
	let current: QuarantineStatus = {kind: 'clear'};
	const {deliveries, sent, records, pass} = setUpQuarantineStatus(
		() => current,
	);
	while (deliveries.queuedCount() === 0) {
		deliveries.deliver(exchangeFor({}), createSink().sink);
	}

	current = {kind: 'pending'};
	deliveries.deliver(exchangeFor({}, {expiresAt: 600}), createSink().sink);
	current = {kind: 'clear'};
	const sentBefore = sent.length;
	pass(1);
	assert.equal(sent.length, sentBefore);
	assert.deepEqual(records, []);
});

test('two crash suspects go to two servers, and a third waits for a free one for a limited time', () => {
	const {deliveries, sent, pass} = setUpQuarantineStatus(
		() => ({kind: 'suspect', crashes: 1}),
		['a', 'b'],
	);
	for (const target of ['/a/1', '/a/2', '/a/3']) {
		deliveries.deliver(exchangeFor({}, {target}), createSink().sink);
	}

	assert.deepEqual(
		sent.map(({call}) => call.key),
		['server a', 'server b'],
	);
	pass(maximumIsolationWaitMs + 1);
	assert.equal(sent.length, 3);
});

test('when a part of prompts is put in quarantine, requests with it that have received no event are ended, and others go on', () => {
	let quarantined = new Set<string>();
	const {deliveries, sent} = setUp(
		['a', 'b'],
		undefined,
		undefined,
		undefined,
		undefined,
		undefined,
		{
			quarantineStatus: ({requestId}) =>
				quarantined.has(requestId)
					? {kind: 'quarantined', until: 60_000}
					: {kind: 'clear'},
		},
	);
	const callers = ['without event', 'with event', 'sound'].map((requestId) => {
		const {sink, seen} = createSink();
		const exchange = exchangeFor({kind: 'streaming'}, {requestId});
		deliveries.deliver(exchange, sink);
		return seen;
	});
	answer(sent[1]!, 200, {...signed, 'x-test-id': 'with event'});
	sent[1]!.listener.onData(Buffer.from('id: 1\ndata: x\n\n'));
	quarantined = new Set(['without event', 'with event']);
	deliveries.cancelQuarantined('part-0123456789abcdef');
	assert.deepEqual(
		sent.map(({isAborted}) => isAborted),
		[true, false, false],
	);
	assert.equal(callers[0]?.error?.outcome, 'unknown');
	assert.deepEqual(
		callers.slice(1).map(({error, isBroken}) => [error, isBroken]),
		[
			[undefined, false],
			[undefined, false],
		],
	);
});
