import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {
	createBackendFleet,
	type OpenCall,
	type UpstreamCall,
	type UpstreamListener,
} from '../../../src/backends/index.ts';
import type {GatewayError} from '../../../src/errors/index.ts';
import type {UpstreamChooser} from '../../../src/gateway/choosing/choose-upstream.ts';
import {leastUrgent} from '../../../src/gateway/wire-headers.ts';
import {createDeliveries} from '../../../src/gateway/delivery/delivery.ts';
import type {
	ResponseSink,
	DeliveryRecord,
	Exchange,
} from '../../../src/gateway/exchange.ts';
import {silentLogger} from '../../../src/logging/index.ts';
import {
	createServerAnnouncements,
	createStatementHandler,
} from '../../../src/server-statements/index.ts';
import type {QuarantineStatus} from '../../../src/quarantine/index.ts';
import {createWindowRetryBudget} from '../../../src/retries/index.ts';
import type {Route} from '../../../src/routes/index.ts';
import {hopHeaders} from '../../../src/gateway/delivery/hop.ts';
import {assumedReleasesPerSecond} from '../../../src/gateway/delivery/capacity-forecast.ts';
import {maximumIsolationWaitMs} from '../../../src/gateway/delivery/wait-for-capacity.ts';
import {fingerprintOfExchange} from '../../../src/gateway/fingerprint-of-exchange.ts';
import {createRouteDurations} from '../../../src/gateway/delivery/route-durations.ts';
import {limitsOf} from '../../backend-limits/fixtures.ts';
import {memberOf} from '../../fixtures.ts';
import {
	exchangeOf,
	fleetOptionsOf,
	knownServerOf,
	names,
	routeOf,
} from '../fixtures.ts';

type Sent = {
	readonly call: UpstreamCall;
	readonly listener: UpstreamListener;
	isAborted: boolean;
};

// A gateway of one region with backend servers that the test plays itself.
const setUp = (
	servers: readonly string[],
	slack = 1000,
	hasSettled = true,
	choose?: UpstreamChooser,
	isClientKnown: () => boolean = () => true,
	quarantineStatus: () => QuarantineStatus = () => ({kind: 'clear'}),
) => {
	let now = 0;
	const clock = () => now;
	const sent: Sent[] = [];
	const records: DeliveryRecord[] = [];
	const backendLimits = limitsOf();
	const announcements = createServerAnnouncements({
		logger: silentLogger,
		onLeaving: () => undefined,
		randomFraction: () => 0,
	});
	const fleet = createBackendFleet(
		fleetOptionsOf({backendLimits, backoffs: announcements.backoffs}),
	);
	fleet.sync(new Map(servers.map((id) => [id, knownServerOf(id, 1)])), now);
	const deliveries = createDeliveries({
		self: 'node-1',
		clock,
		headers: names,
		without: new Set(),
		fleet,
		client: {
			call(call, listener): OpenCall {
				const entry: Sent = {call, listener, isAborted: false};
				sent.push(entry);
				return {
					abort() {
						entry.isAborted = true;
					},
					resume: () => undefined,
				};
			},
			forget: () => undefined,
			connectionsOpened: () => 0,
			hasIdleConnection: () => false,
			close: async () => undefined,
		},
		choose:
			choose ??
			((_exchange, _tried, placement) => fleet.choose(placement, now)),
		budget: createWindowRetryBudget({ratio: 0, windowMs: 10_000, slack}),
		budgetNodes: () => 1,
		hasSettled: () => hasSettled,
		durations: createRouteDurations(),
		connectionShare: () => ({maximum: 10, isPersistent: true}),
		routesVersion: () => 1,
		isServedHere: () => true,
		isClientKnown,
		onPeerFailure: () => undefined,
		onServerFailure: () => undefined,
		onCallBroken: () => undefined,
		onServed: () => undefined,
		quarantineStatus,
		statements: createStatementHandler({
			headers: names,
			onLeaving: announcements.recordShutdown,
			onBackoff: announcements.recordBackoff,
			onLimit: backendLimits.recordStatement,
			onFault: () => undefined,
		}),
		announcements,
		canReceive: () => true,
		backendLimits,
		onWaiting: () => undefined,
		onRecord(record) {
			records.push(record);
		},
	});
	return {
		deliveries,
		sent,
		records,
		pass(milliseconds: number) {
			now += milliseconds;
			deliveries.tick(now);
		},
	};
};

const createSink = () => {
	const seen = {
		status: 0,
		text: '',
		isEnded: false,
		isBroken: false,
		error: undefined as GatewayError | undefined,
	};
	const sink: ResponseSink = {
		begin(status) {
			seen.status = status;
		},
		write(chunk) {
			seen.text += chunk.toString();
			return true;
		},
		end(chunk) {
			seen.text += chunk?.toString() ?? '';
			seen.isEnded = true;
		},
		abort() {
			seen.isBroken = true;
		},
		refuse(error) {
			seen.error = error;
		},
		onDrain: () => undefined,
	};
	return {sink, seen};
};

const exchangeFor = (
	route: Partial<Route>,
	change: Partial<Exchange> = {},
): Exchange => exchangeOf({route: routeOf(route), ...change});

const answer = (
	{listener}: Sent,
	status: number,
	headers: Readonly<Record<string, string>> = {},
) => {
	const all: Readonly<Record<string, string>> = {
		'x-test-id': 'request-1',
		...headers,
	};
	listener.onHead({
		status,
		header: (name) => all[name],
		rawHeaders: Object.entries(all).flat(),
	});
};

const signed = {'x-test-signature': 's'};

test('a whole answer is passed on with its status', () => {
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

test('a server is told how urgent a request is, within the ranks that servers tell apart', () => {
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

test('a server is told the account of a request, and nothing where there is none', () => {
	const {deliveries, sent} = setUp(['a', 'b']);
	const client = {name: 'account', keyDigest: 'digest'};
	deliveries.deliver(exchangeFor({}, {client}), createSink().sink);
	deliveries.deliver(exchangeFor({}), createSink().sink);
	const [told, untold] = sent.map(({call}) => call.headers);
	assert.equal(told?.[told.indexOf(names.client) + 1], 'account');
	assert.equal(told?.includes('digest'), false);
	assert.equal(untold?.includes(names.client), false);
});

test('a request whose key is taken away while it waits is refused as not run', () => {
	let isKnown = true;
	const {deliveries, sent} = setUp(['a'], 1000, true, undefined, () => isKnown);
	const client = {name: 'account', keyDigest: 'digest'};
	// Two fill the server's room.
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

test('a request that must not be repeated is never sent again once a byte has left', () => {
	const {deliveries, sent} = setUp(['a', 'b']);
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor({kind: 'non-idempotent'}), sink);
	sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	assert.equal(sent.length, 1);
	assert.equal(seen.error?.kind, 'attempt-failed');
	assert.equal(seen.error.outcome, 'unknown');
});

test('what is proved not to have run goes to another server, also if it must not be repeated', () => {
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

test('no request goes to more servers than its route allows', () => {
	const {deliveries, sent} = setUp(['a', 'b', 'c']);
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor({maximumAttempts: 2}), sink);
	sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	sent[1]!.listener.onFailure({wasSent: true, reason: 'reset'});
	assert.equal(sent.length, 2);
	assert.equal(seen.error?.kind, 'attempt-failed');
});

test('without a budget nothing is sent twice', () => {
	const {deliveries, sent} = setUp(['a', 'b'], 0);
	const {sink} = createSink();
	deliveries.deliver(exchangeFor({}), sink);
	sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	assert.equal(sent.length, 1);
});

test('a refusal after an attempt that may have run never says that it did not run', () => {
	const {deliveries, sent} = setUp(['a', 'b']);
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor({}), sink);
	sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	answer(sent[1]!, 503, {'x-test-not-run': '1'});
	assert.equal(seen.error?.outcome, 'unknown');
	assert.equal(seen.error.kind, 'attempt-failed');
});

test('a request waits for room and goes on when there is some', () => {
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

test('a request waits while it can still be answered in time, and is then refused as not run', () => {
	const {deliveries, pass} = setUp(['a']);
	const seen = [createSink(), createSink(), createSink()];
	for (const {sink} of seen) {
		deliveries.deliver(exchangeFor({}), sink);
	}

	// Half of its four seconds is left for the answer, of a route of which nothing is known.
	pass(1800);
	assert.equal(deliveries.queuedCount(), 1);
	pass(200);
	const {error} = seen[2]!.seen;
	assert.equal(error?.kind, 'overloaded');
	assert.equal(error.outcome, 'not-run');
});

test('a request that room is not predicted for in time is refused at once, the later the longer', () => {
	const {deliveries} = setUp(['a']);
	const times: number[] = [];
	const mostWaiting = 2 * assumedReleasesPerSecond;
	for (let index = 0; index < mostWaiting + 4; index += 1) {
		const {sink, seen} = createSink();
		deliveries.deliver(exchangeFor({}), sink);
		if (seen.error) {
			assert.equal(seen.error.outcome, 'not-run');
			times.push(seen.error.retryAfterSeconds ?? 0);
		}
	}

	// Two run, and of the others those wait that get room within two seconds.
	assert.equal(deliveries.queuedCount(), mostWaiting - 1);
	assert.equal(times.length, 3);
	assert.ok(times[0]! < times[1]! && times[1]! < times[2]!);
});

test('with nowhere to go a request is refused at once, but at a node that knows little yet', () => {
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

test('the record of a stream tells its status and its longest pause', () => {
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

test('a stream that breaks is continued after its last whole event, if it may be resumed', () => {
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

test('a stream that breaks and may not be resumed is broken off, never ended', () => {
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

test('a caller that leaves stops its stream, and a request that waits is not sent any more', () => {
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

test('requests at a server that fell silent go to another one, if they may be repeated', () => {
	const {deliveries, sent} = setUp(['a', 'b']);
	const repeatable = createSink();
	const single = createSink();
	deliveries.deliver(exchangeFor({}), repeatable.sink);
	const silent = sent[0]!.call.key.replace('server ', '');
	deliveries.serverStoppedResponding(silent);
	assert.equal(sent.length, 2);
	assert.ok(sent[0]!.isAborted);
	deliveries.deliver(exchangeFor({kind: 'non-idempotent'}), single.sink);
	const at = sent[2]!.call.key.replace('server ', '');
	deliveries.serverStoppedResponding(at);
	assert.ok(!sent[2]!.isAborted);
});

test('the remaining time that a server is told shrinks, and reserved headers are set here only', () => {
	const {deliveries, sent, pass} = setUp(['a', 'b']);
	const {sink} = createSink();
	deliveries.deliver(exchangeFor({}), sink);
	pass(1000);
	sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	const told = sent.map(({call: {headers}}) =>
		Number(headers[headers.indexOf('x-test-remaining') + 1]),
	);
	assert.deepEqual(told, [4000, 3000]);
	assert.ok(sent[1]!.call.headers.includes('x-test-expected'));
});

// The only other node, as long as the request may still go to it.
const chooseOtherNode: UpstreamChooser = (_exchange, {members}) =>
	members.has('node-2')
		? {kind: 'none'}
		: {kind: 'peer', member: memberOf('node-2', 'far'), region: 'far'};

test('a node is asked again after a fault of its backend server', () => {
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

test('a node is not asked again after its connection broke, or after it had no room', () => {
	const broken = setUp([], 1000, true, chooseOtherNode);
	broken.deliveries.deliver(exchangeFor({}), createSink().sink);
	broken.sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	assert.equal(broken.sent.length, 1);
	const full = setUp([], 1000, true, chooseOtherNode);
	full.deliveries.deliver(exchangeFor({}), createSink().sink);
	answer(full.sent[0]!, 503, {[hopHeaders.result]: 'refused'});
	assert.equal(full.sent.length, 1);
});

test('a caller is told when the rests of another region end, where only that one has servers', () => {
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

test('a server that asks for a rest is not tried again, and its callers are told when the rest ends', () => {
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

test('a request whose time was over before the node came to it is sent nowhere', () => {
	const {deliveries, sent, pass} = setUp(['a']);
	pass(1200);
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor({}, {receivedAt: 0, expiresAt: 1000}), sink);
	assert.equal(sent.length, 0);
	assert.equal(deliveries.count(), 0);
	assert.equal(seen.error?.kind, 'overloaded');
});

const setUpStanding = (
	quarantineStatus: () => QuarantineStatus,
	servers = ['a', 'b', 'c'],
) => setUp(servers, 1000, true, undefined, undefined, quarantineStatus);

test('a request in quarantine is refused as not run, with the time until when', () => {
	const {deliveries, sent, records} = setUpStanding(() => ({
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

test('one that is found out while it is under way is taken from its server, and may have run', () => {
	let current: QuarantineStatus = {kind: 'clear'};
	const {deliveries, sent} = setUpStanding(() => current);
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

test('one whose crash others have still to tell of is held back, and goes on when it is cleared', () => {
	let current: QuarantineStatus = {kind: 'pending'};
	const {deliveries, sent, pass} = setUpStanding(() => current);
	deliveries.deliver(exchangeFor({}), createSink().sink);
	assert.equal(sent.length, 0);
	current = {kind: 'clear'};
	pass(40);
	assert.equal(sent.length, 1);
});

test('two that were at a crash go to two servers, and one more waits for one of them, but not for long', () => {
	const {deliveries, sent, pass} = setUpStanding(
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
