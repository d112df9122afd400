import {Buffer} from 'node:buffer';
import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {
	callerPatienceMs,
	probeAnswerDeadlineMs,
	silenceThresholdMs,
} from '../../../src/backends/index.ts';
import type {UpstreamChooser} from '../../../src/gateway/choosing/choose-upstream.ts';
import type {DeliveryOptions} from '../../../src/gateway/delivery/delivery-context.ts';
import {assumedReleasesPerSecond} from '../../../src/gateway/delivery/capacity-forecast.ts';
import {minimumRetryAfterSeconds} from '../../../src/gateway/delivery/end-run.ts';
import {hopHeaders} from '../../../src/gateway/delivery/hop.ts';
import type {Exchange} from '../../../src/gateway/exchange.ts';
import {gatewayTickMs} from '../../../src/gateway/tick-schedule.ts';
import type {Route} from '../../../src/routes/index.ts';
import {memberOf} from '../../fixtures.ts';
import {knownServerOf} from '../fixtures.ts';
import {
	answer,
	createSink,
	exchangeFor,
	setUp,
	signed,
	type Sent,
} from './delivery-scene.ts';

const deadlineMs = 5000;
const beliefMs = silenceThresholdMs + probeAnswerDeadlineMs;
const resumable = {kind: 'streaming', isResumable: true} as const;
const streamHead = {...signed, 'content-type': 'text/event-stream'};
const eventOf = (index: number) => `id: ${index}\ndata: x\n\n`;

type SceneOptions = {
	readonly servers?: readonly string[];
	readonly route?: Partial<Route>;
	readonly exchange?: Partial<Exchange>;
	readonly slack?: number;
	readonly change?: Partial<DeliveryOptions>;
};

// The first of two servers holds a request; the other one answers all that it is asked.
const setUpSilent = (
	t: TestContext,
	{
		servers = ['a', 'b'],
		route = resumable,
		exchange = {},
		slack = 1000,
		change = {},
	}: SceneOptions = {},
) => {
	const scene = setUp(
		servers,
		slack,
		true,
		undefined,
		undefined,
		undefined,
		change,
	);
	const {deliveries, fleet, sent, pass} = scene;
	const caller = createSink();
	const exchangeOfScene = exchangeFor(
		{timeoutMs: deadlineMs, ...route},
		{expiresAt: deadlineMs, ...exchange},
	);
	const handle = deliveries.deliver(exchangeOfScene, caller.sink);
	t.after(() => {
		handle.callerLeft();
	});
	let now = 0;
	return {
		...scene,
		handle,
		seen: caller.seen,
		first: sent[0]!,
		// Ticks like a node does, without an answer to any health check.
		wait(milliseconds: number) {
			const until = now + milliseconds;
			while (now < until) {
				const stepMs = Math.min(gatewayTickMs, until - now);
				now += stepMs;
				fleet.tick(now);
				fleet.dueProbes(now);
				pass(stepMs);
			}
		},
	};
};

const hedgedMs = callerPatienceMs + beliefMs;

const sendEvents = ({listener}: Sent, from: number, to: number) => {
	for (let index = from; index <= to; index += 1) {
		listener.onData(Buffer.from(eventOf(index)));
	}
};

const textOf = (events: number) =>
	Array.from({length: events}, (_, index) => eventOf(index + 1)).join('');

test('a server that falls silent at any point keeps its request, for each kind of request', (t: TestContext) => {
	const steps = 5;
	fc.assert(
		fc.property(
			fc.integer({min: 0, max: steps}),
			fc.integer({min: 300, max: 4000}),
			fc.constantFrom<Partial<Route>>(
				resumable,
				{kind: 'streaming'},
				{kind: 'idempotent'},
				{kind: 'non-idempotent'},
			),
			(silentAt, silenceMs, route) => {
				// The only server of the service.
				const {first, sent, seen, wait} = setUpSilent(t, {
					servers: ['a'],
					route,
				});
				const pieces = ['head', 'id: 1\nda', 'ta: x\n\n', eventOf(2), 'end'];
				for (const [index, piece] of [...pieces, ''].entries()) {
					if (index === silentAt) {
						wait(silenceMs);
					}

					if (piece === 'head') {
						answer(first, 200, streamHead);
					} else if (piece === 'end') {
						first.listener.onEnd();
					} else {
						first.listener.onData(Buffer.from(piece));
					}
				}

				t.assert.ok(!first.isAborted);
				t.assert.strictEqual(sent.length, 1);
				t.assert.ok(seen.isEnded);
				t.assert.strictEqual(seen.text, textOf(2));
			},
		),
		{numRuns: 100},
	);
});

test('a request has no second call before callers lose patience, even if another server is idle', (t: TestContext) => {
	const {sent, wait, fleet} = setUpSilent(t);
	wait(callerPatienceMs - 1);
	t.assert.strictEqual(fleet.suspicionOf('a'), 'silent');
	t.assert.strictEqual(sent.length, 1);
});

test('a second call begins after the patience of callers, and the first one stays open until the second answers', (t: TestContext) => {
	const {first, sent, seen, wait} = setUpSilent(t);
	wait(hedgedMs);
	const [, second] = sent;
	t.assert.strictEqual(sent.length, 2);
	answer(second!, 200, streamHead);
	t.assert.ok(!first.isAborted);
	sendEvents(second!, 1, 2);
	t.assert.ok(first.isAborted);
	second!.listener.onEnd();
	t.assert.ok(seen.isEnded);
	t.assert.strictEqual(seen.text, textOf(2));
});

test('the first call goes on if it sends anything before the second one answers', (t: TestContext) => {
	const {first, sent, seen, wait} = setUpSilent(t);
	wait(hedgedMs);
	const [, second] = sent;
	answer(second!, 200, streamHead);
	answer(first, 200, streamHead);
	t.assert.ok(second!.isAborted);
	sendEvents(second!, 1, 1);
	sendEvents(first, 1, 3);
	first.listener.onEnd();
	t.assert.strictEqual(seen.text, textOf(3));
	t.assert.ok(seen.isEnded);
});

// A stream in its third event at a silent server, and the second call that continues it.
const setUpBegunStream = (t: TestContext) => {
	const scene = setUpSilent(t, {servers: ['a']});
	const {deliveries, fleet, first, sent, wait} = scene;
	// A request without a first event shows the silence of the server.
	const other = deliveries.deliver(exchangeFor(resumable), createSink().sink);
	t.after(other.callerLeft);
	const {server} = knownServerOf('b', 1);
	fleet.sync(
		new Map([
			['a', {server: fleet.server('a')!, coldUntil: 0}],
			['b', {server, coldUntil: 0}],
		]),
		0,
	);
	answer(first, 200, streamHead);
	sendEvents(first, 1, 2);
	first.listener.onData(Buffer.from('id: 3\nda'));
	wait(hedgedMs);
	const second = sent.find(
		({call: {headers}}) =>
			headers[headers.indexOf('last-event-id') + 1] === '2',
	)!;
	return {...scene, second};
};

test('the second call of a stream continues it after its last whole event', (t: TestContext) => {
	const {first, second, seen} = setUpBegunStream(t);
	answer(second, 200, streamHead);
	t.assert.ok(!first.isAborted);
	sendEvents(second, 3, 4);
	t.assert.ok(first.isAborted);
	first.listener.onData(Buffer.from('ta: x\n\n'));
	second.listener.onEnd();
	t.assert.strictEqual(seen.text, textOf(4));
	t.assert.ok(seen.isEnded);
});

test('a stream that has begun goes on at its server if that sends anything first', (t: TestContext) => {
	const {first, second, seen} = setUpBegunStream(t);
	answer(second, 200, streamHead);
	first.listener.onData(Buffer.from('ta: x'));
	t.assert.ok(second.isAborted);
	sendEvents(second, 3, 4);
	first.listener.onData(Buffer.from('\n\n'));
	first.listener.onEnd();
	t.assert.ok(!first.isAborted);
	t.assert.strictEqual(seen.text, textOf(3));
	t.assert.ok(seen.isEnded);
});

test('a stream that has begun has no second call at a server with another version of the software', (t: TestContext) => {
	const {deliveries, fleet, first, sent, wait, seen} = setUpSilent(t, {
		servers: ['a'],
	});
	const other = deliveries.deliver(exchangeFor(resumable), createSink().sink);
	t.after(other.callerLeft);
	const serverOf = (id: string, softwareVersion: string) =>
		[
			id,
			{coldUntil: 0, server: {...fleet.server('a')!, id, softwareVersion}},
		] as const;
	answer(first, 200, streamHead);
	sendEvents(first, 1, 1);
	fleet.sync(
		new Map([
			['a', {server: fleet.server('a')!, coldUntil: 0}],
			serverOf('b', 'v2'),
		]),
		0,
	);
	wait(hedgedMs);
	// The only other server has another version than the one that began the stream.
	t.assert.ok(
		sent.every(({call: {headers}}) => !headers.includes('last-event-id')),
	);
	sendEvents(first, 2, 2);
	first.listener.onEnd();
	t.assert.strictEqual(seen.text, textOf(2));
});

test('a second call to another node that another version of the software answers is dropped', (t: TestContext) => {
	const member = memberOf('node-2', 'far');
	const choose: UpstreamChooser = (_exchange, _tried, {isSecondCall}) =>
		isSecondCall
			? {kind: 'peer', member, region: 'far'}
			: {kind: 'server', id: 'a'};
	const {deliveries, first, sent, seen, wait} = setUpSilent(t, {
		servers: ['a'],
		change: {choose},
	});
	// A request without a first event shows the silence of the server.
	const other = deliveries.deliver(
		exchangeFor({...resumable, maximumAttempts: 1}),
		createSink().sink,
	);
	t.after(other.callerLeft);
	answer(first, 200, streamHead);
	sendEvents(first, 1, 1);
	wait(hedgedMs);
	const second = sent[2]!;
	answer(second, 200, {
		...streamHead,
		[hopHeaders.result]: 'answered',
		[hopHeaders.softwareVersion]: 'v9',
	});
	t.assert.ok(second.isAborted);
	sendEvents(second, 2, 2);
	t.assert.ok(!first.isAborted);
	sendEvents(first, 2, 2);
	first.listener.onEnd();
	t.assert.strictEqual(seen.text, textOf(2));
});

test('a failure or refusal of the second call leaves the first one alone', (t: TestContext) => {
	for (const fail of [
		({listener}: Sent) => {
			listener.onFailure({wasSent: true, reason: 'reset'});
		},
		({listener}: Sent) => {
			listener.onFailure({wasSent: false, reason: 'no connection'});
		},
		(second: Sent) => {
			answer(second, 503, {'x-test-not-run': '1'});
		},
		(second: Sent) => {
			answer(second, 500, signed);
		},
	]) {
		const {first, sent, seen, wait} = setUpSilent(t, {
			route: {kind: 'idempotent'},
		});
		wait(hedgedMs);
		fail(sent[1]!);
		t.assert.ok(!first.isAborted);
		answer(first, 200, signed);
		first.listener.onData(Buffer.from('done'));
		first.listener.onEnd();
		t.assert.strictEqual(seen.text, 'done');
		t.assert.strictEqual(seen.status, 200);
	}
});

test('a failure of the first call makes the second one the only one', (t: TestContext) => {
	const {first, sent, seen, wait} = setUpSilent(t, {
		route: {kind: 'idempotent'},
	});
	wait(hedgedMs);
	first.listener.onFailure({wasSent: true, reason: 'reset'});
	t.assert.strictEqual(sent.length, 2);
	t.assert.ok(!sent[1]!.isAborted);
	answer(sent[1]!, 200, signed);
	sent[1]!.listener.onData(Buffer.from('done'));
	sent[1]!.listener.onEnd();
	t.assert.strictEqual(seen.text, 'done');
});

test('a whole response of the second call counts only when it is complete', (t: TestContext) => {
	const {first, sent, seen, wait} = setUpSilent(t, {
		route: {kind: 'idempotent'},
	});
	wait(hedgedMs);
	answer(sent[1]!, 200, signed);
	sent[1]!.listener.onData(Buffer.from('do'));
	t.assert.ok(!first.isAborted);
	sent[1]!.listener.onData(Buffer.from('ne'));
	sent[1]!.listener.onEnd();
	t.assert.ok(first.isAborted);
	t.assert.strictEqual(seen.text, 'done');
});

test('both calls end when the caller leaves or the deadline passes', (t: TestContext) => {
	const left = setUpSilent(t);
	left.wait(hedgedMs);
	left.handle.callerLeft();
	t.assert.deepStrictEqual(
		left.sent.map(({isAborted}) => isAborted),
		[true, true],
	);
	t.mock.timers.enable({apis: ['setTimeout']});
	const expired = setUpSilent(t);
	expired.wait(hedgedMs);
	t.mock.timers.tick(deadlineMs);
	t.assert.deepStrictEqual(
		expired.sent.map(({isAborted}) => isAborted),
		[true, true],
	);
	t.assert.strictEqual(expired.seen.error?.outcome, 'unknown');
});

test('a request has no second call if it must not run twice, has no attempt or budget left, came over a hop, or may crash servers', (t: TestContext) => {
	const hop = {
		origin: 'node-2',
		excluded: [],
		canWait: false,
		softwareVersion: undefined,
	};
	const cases: ReadonlyArray<readonly [string, SceneOptions]> = [
		['must not run twice', {route: {kind: 'non-idempotent'}}],
		['no attempt left', {route: {...resumable, maximumAttempts: 1}}],
		['no budget left', {slack: 0}],
		['over a hop', {exchange: {hop}}],
		[
			'crash suspect',
			{change: {quarantineStatus: () => ({kind: 'suspect', crashes: 1})}},
		],
		['mechanism is off', {change: {without: new Set(['hedging'])}}],
	];
	for (const [name, options] of cases) {
		const {first, sent, wait} = setUpSilent(t, options);
		wait(hedgedMs);
		t.assert.strictEqual(sent.length, 1, name);
		t.assert.ok(!first.isAborted, name);
	}
});

test('a request that waits at a server that answers others has no second call', (t: TestContext) => {
	const {deliveries, sent, wait} = setUpSilent(t, {servers: ['a']});
	const other = deliveries.deliver(exchangeFor(resumable), createSink().sink);
	t.after(other.callerLeft);
	answer(sent[1]!, 200, streamHead);
	for (let elapsed = 0; elapsed < hedgedMs; elapsed += 100) {
		wait(100);
		sent[1]!.listener.onData(Buffer.from(eventOf(elapsed / 100 + 1)));
	}

	t.assert.strictEqual(sent.length, 2);
});

test('no request is blamed for a silence', (t: TestContext) => {
	let broken = 0;
	const {wait} = setUpSilent(t, {
		servers: ['a'],
		change: {
			onCallBroken() {
				broken += 1;
			},
		},
	});
	wait(hedgedMs);
	t.assert.strictEqual(broken, 0);
});

test('a request whose server was replaced under its id has a second call, one whose server only left the registry has none', (t: TestContext) => {
	const servers = {a: knownServerOf('a', 1), b: knownServerOf('b', 1)};
	const restarted = {...servers.a.server, startedAt: 7};
	for (const [known, sends] of [
		[new Map([['b', servers.b]]), 1],
		[
			new Map([
				['a', {...servers.a, server: restarted}],
				['b', servers.b],
			]),
			2,
		],
	] as const) {
		const {fleet, sent, wait} = setUpSilent(t, {
			change: {without: new Set(['silence'])},
		});
		fleet.sync(known, 0);
		wait(hedgedMs);
		t.assert.strictEqual(sent.length, sends);
	}
});

test('new requests wait while all servers are silent, and are sent when one goes on', (t: TestContext) => {
	const {deliveries, first, sent, wait} = setUpSilent(t, {servers: ['a']});
	wait(beliefMs + 2 * gatewayTickMs);
	const {sink, seen} = createSink();
	const {callerLeft} = deliveries.deliver(
		exchangeFor(resumable, {receivedAt: 1500, expiresAt: 6000}),
		sink,
	);
	t.after(callerLeft);
	wait(500);
	t.assert.strictEqual(sent.length, 1);
	t.assert.strictEqual(seen.error, undefined);
	answer(first, 200, streamHead);
	wait(gatewayTickMs);
	t.assert.strictEqual(sent.length, 2);
});

test('a request that waits for silent servers is refused as not run when an answer would come too late', (t: TestContext) => {
	const {deliveries, sent, wait} = setUpSilent(t, {servers: ['a']});
	wait(beliefMs + 2 * gatewayTickMs);
	const {sink, seen} = createSink();
	deliveries.deliver(
		exchangeFor(resumable, {receivedAt: 1500, expiresAt: 3500}),
		sink,
	);
	// The route has no samples, so half of its time is reserved for the response.
	wait(900);
	t.assert.strictEqual(seen.error, undefined);
	wait(300);
	const {error} = {...seen};
	t.assert.strictEqual(error?.outcome, 'not-run');
	t.assert.strictEqual(error.retryAfterSeconds, minimumRetryAfterSeconds);
	t.assert.strictEqual(sent.length, 1);
});

test('the queue refuses no request by the pace at which requests ended before a silence', (t: TestContext) => {
	const {deliveries, wait} = setUpSilent(t, {servers: ['a']});
	wait(beliefMs + 2 * gatewayTickMs);
	// More than assumed releases would serve in time.
	const callers = Array.from({length: 4 * assumedReleasesPerSecond}, () => {
		const {sink, seen} = createSink();
		const {callerLeft} = deliveries.deliver(
			exchangeFor(resumable, {receivedAt: 1500, expiresAt: 5500}),
			sink,
		);
		t.after(callerLeft);
		return seen;
	});
	wait(gatewayTickMs);
	t.assert.deepStrictEqual(
		callers.filter(({error}) => error !== undefined),
		[],
	);
});
