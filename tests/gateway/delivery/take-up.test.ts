import {Buffer} from 'node:buffer';
import {test, type TestContext} from 'node:test';
import type {DeliveryOptions} from '../../../src/gateway/delivery/delivery-context.ts';
import {hopHeaders} from '../../../src/gateway/delivery/hop.ts';
import type {Route} from '../../../src/routes/index.ts';
import type {Continuation} from '../../../src/stream-origins/index.ts';
import {memberOf} from '../../fixtures.ts';
import {knownServerOf, originsOfOneVersion, routeOf} from '../fixtures.ts';
import {
	answer,
	createSink,
	exchangeFor,
	setUp,
	signed,
} from './delivery-scene.ts';

const streaming: Partial<Route> = {
	kind: 'streaming',
	isResumable: true,
	maximumAttempts: 3,
};
const eventOf = (index: number) => Buffer.from(`id: ${index}\ndata: x\n\n`);
const origin = {service: 'engine', softwareVersion: 'v1'};
const ambiguous: Continuation = {kind: 'impossible', reason: 'ambiguous'};

// Servers by id, with their software versions.
const setUpVersions = (
	versions: Readonly<Record<string, string>>,
	change: Partial<DeliveryOptions> = {},
) => {
	const scene = setUp(
		[],
		1000,
		true,
		undefined,
		() => true,
		() => ({kind: 'clear'}),
		change,
	);
	scene.fleet.sync(
		new Map(
			Object.entries(versions).map(([id, softwareVersion]) => {
				const known = knownServerOf(id, 1);
				return [id, {...known, server: {...known.server, softwareVersion}}];
			}),
		),
		0,
	);
	return scene;
};

const continuing = (
	continuation: Continuation,
): DeliveryOptions['origins'] => ({
	...originsOfOneVersion,
	find(_exchange, onResult) {
		onResult(continuation);
		return () => undefined;
	},
	decideWithoutRecord: () => ambiguous,
});

test('a stream that is taken up goes to a server of its version only', (t: TestContext) => {
	const {deliveries, sent} = setUpVersions(
		{a: 'v2', b: 'v1', c: 'v2'},
		{origins: continuing({kind: 'bound', origin})},
	);
	const exchange = exchangeFor(streaming, {lastEventId: '2'});
	deliveries.deliver(exchange, createSink().sink);
	t.assert.deepStrictEqual(
		sent.map(({call}) => call.key),
		['server b'],
	);
});

test('a stream that is taken up is continued by the service that began it', (t: TestContext) => {
	const {deliveries, sent, records} = setUpVersions(
		{a: 'v1'},
		{origins: continuing({kind: 'bound', origin})},
	);
	const exchange = exchangeFor(streaming, {
		lastEventId: '2',
		service: 'other',
	});
	deliveries.deliver(exchange, createSink().sink);
	answer(sent[0]!, 200, signed);
	sent[0]!.listener.onData(eventOf(3));
	sent[0]!.listener.onEnd();
	t.assert.strictEqual(records[0]?.exchange.service, 'engine');
});

test('a stream that cannot be continued is refused at once as not run, without a time to come back', (t: TestContext) => {
	for (const continuation of [
		ambiguous,
		{kind: 'bound', origin: {...origin, softwareVersion: 'v3'}},
	] as const) {
		const {deliveries, sent} = setUpVersions(
			{a: 'v1', b: 'v2'},
			{origins: continuing(continuation)},
		);
		const {sink, seen} = createSink();
		deliveries.deliver(exchangeFor(streaming, {lastEventId: '2'}), sink);
		t.assert.strictEqual(sent.length, 0);
		t.assert.strictEqual(seen.error?.kind, 'not-resumable');
		t.assert.strictEqual(seen.error.outcome, 'not-run');
		t.assert.strictEqual(seen.error.retryAfterSeconds, undefined);
		t.assert.strictEqual(deliveries.count(), 0);
	}
});

test('a stream whose version is fully loaded waits for it although others are idle', (t: TestContext) => {
	const {deliveries, sent} = setUpVersions(
		{a: 'v1', b: 'v2'},
		{origins: continuing({kind: 'bound', origin})},
	);
	for (let index = 0; index < 3; index += 1) {
		const exchange = exchangeFor(streaming, {lastEventId: '2'});
		deliveries.deliver(exchange, createSink().sink);
	}

	t.assert.deepStrictEqual(
		sent.map(({call}) => call.key),
		['server a', 'server a'],
	);
	t.assert.strictEqual(deliveries.queuedCount(), 1);
});

test('a queued continuation is refused as soon as the last server of its version is gone', (t: TestContext) => {
	const {deliveries, fleet, pass} = setUpVersions(
		{a: 'v1', b: 'v2'},
		{origins: continuing({kind: 'bound', origin})},
	);
	const callers = [createSink(), createSink(), createSink()];
	for (const {sink} of callers) {
		deliveries.deliver(exchangeFor(streaming, {lastEventId: '2'}), sink);
	}

	fleet.sync(new Map([['b', knownServerOf('b', 1)]]), 0);
	pass(40);
	t.assert.strictEqual(callers[2]!.seen.error?.kind, 'not-resumable');
	t.assert.strictEqual(deliveries.queuedCount(), 0);
});

test('a stream that broke off before its first event may begin at any version', (t: TestContext) => {
	const {deliveries, sent} = setUpVersions({a: 'v1', b: 'v2'});
	deliveries.deliver(exchangeFor(streaming), createSink().sink);
	answer(sent[0]!, 200, signed);
	sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	t.assert.strictEqual(sent.length, 2);
});

test('a stream that broke off after an event ends if no other server has its version', (t: TestContext) => {
	const {deliveries, sent} = setUpVersions({a: 'v1', b: 'v2'});
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor(streaming), sink);
	answer(sent[0]!, 200, signed);
	sent[0]!.listener.onData(eventOf(1));
	sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	t.assert.strictEqual(sent.length, 1);
	t.assert.strictEqual(seen.isBroken, true);
	t.assert.strictEqual(deliveries.count(), 0);
});

const forwardedAnswer = (softwareVersion?: string) => ({
	...signed,
	[hopHeaders.result]: 'answered',
	[hopHeaders.tried]: 'a',
	...(softwareVersion !== undefined && {
		[hopHeaders.softwareVersion]: softwareVersion,
	}),
});

const setUpPeers = () =>
	setUp(
		[],
		1000,
		true,
		() => ({kind: 'peer', member: memberOf('node-2', 'far'), region: 'far'}),
		() => true,
		() => ({kind: 'clear'}),
		{origins: continuing({kind: 'bound', origin})},
	);

test('an answer by another version than the one that began the stream is dropped', (t: TestContext) => {
	const {deliveries, sent} = setUpPeers();
	const {sink, seen} = createSink();
	const exchange = exchangeFor(streaming, {lastEventId: '2'});
	deliveries.deliver(exchange, sink);
	const {headers} = sent[0]!.call;
	t.assert.strictEqual(
		headers[headers.indexOf(hopHeaders.softwareVersion) + 1],
		'v1',
	);
	answer(sent[0]!, 200, forwardedAnswer('v2'));
	sent[0]!.listener.onData(eventOf(3));
	t.assert.strictEqual(seen.text, '');
	t.assert.strictEqual(seen.status, 0);
	t.assert.strictEqual(sent.length, 2);
});

test('a stream that a node without a stated version relayed is not continued while two versions are in use', (t: TestContext) => {
	const {deliveries, sent} = setUpPeers();
	const {sink, seen} = createSink();
	deliveries.deliver(exchangeFor(streaming), sink);
	answer(sent[0]!, 200, forwardedAnswer());
	sent[0]!.listener.onData(eventOf(1));
	sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	t.assert.strictEqual(sent.length, 1);
	t.assert.strictEqual(seen.isBroken, true);
});

test('a stream that a node without a stated version relayed is continued at the only version in use', (t: TestContext) => {
	const {deliveries, sent} = setUp(
		[],
		1000,
		true,
		() => ({kind: 'peer', member: memberOf('node-2', 'far'), region: 'far'}),
		() => true,
		() => ({kind: 'clear'}),
		{
			origins: {
				...originsOfOneVersion,
				decideWithoutRecord: () => ({kind: 'bound', origin}),
			},
		},
	);
	deliveries.deliver(exchangeFor(streaming), createSink().sink);
	answer(sent[0]!, 200, forwardedAnswer());
	sent[0]!.listener.onData(eventOf(1));
	sent[0]!.listener.onFailure({wasSent: true, reason: 'reset'});
	const headers = sent[1]?.call.headers ?? [];
	t.assert.strictEqual(
		headers[headers.indexOf(hopHeaders.softwareVersion) + 1],
		'v1',
	);
});

test('a forwarded continuation without a version is refused while two versions are in use', (t: TestContext) => {
	const hop = {
		origin: 'node-2',
		excluded: [],
		canWait: false,
	};
	for (const {softwareVersion, calls} of [
		{softwareVersion: undefined, calls: 0},
		{softwareVersion: 'v1', calls: 1},
	]) {
		const {deliveries, sent} = setUpVersions(
			{a: 'v1', b: 'v2'},
			{origins: continuing(ambiguous)},
		);
		deliveries.deliver(
			exchangeFor(streaming, {
				lastEventId: '2',
				hop: {...hop, softwareVersion},
			}),
			createSink().sink,
		);
		t.assert.strictEqual(sent.length, calls);
	}
});

test('a caller that leaves during the search for the origin causes no send', (t: TestContext) => {
	let isCancelled = false;
	const {deliveries, sent} = setUpVersions(
		{a: 'v1'},
		{
			origins: {
				...originsOfOneVersion,
				find: () => () => {
					isCancelled = true;
				},
			},
		},
	);
	const delivery = deliveries.deliver(
		exchangeFor(streaming, {lastEventId: '2'}),
		createSink().sink,
	);
	t.assert.strictEqual(deliveries.count(), 1);
	delivery.callerLeft();
	t.assert.strictEqual(isCancelled, true);
	t.assert.strictEqual(deliveries.count(), 0);
	t.assert.strictEqual(sent.length, 0);
});

test('the origin is recorded once, by the node of the caller, when the first event is passed on', (t: TestContext) => {
	const recorded: unknown[] = [];
	const {deliveries, sent} = setUpVersions(
		{a: 'v1'},
		{
			origins: {
				...originsOfOneVersion,
				record(_exchange, each) {
					recorded.push(each);
				},
			},
		},
	);
	deliveries.deliver(
		exchangeFor({}, {route: routeOf(streaming)}),
		createSink().sink,
	);
	answer(sent[0]!, 200, signed);
	t.assert.deepStrictEqual(recorded, []);
	sent[0]!.listener.onData(eventOf(1));
	sent[0]!.listener.onData(eventOf(2));
	t.assert.deepStrictEqual(recorded, [origin]);
});
