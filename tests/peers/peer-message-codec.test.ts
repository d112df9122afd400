import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {createHeartbeatCodec} from '../../src/peers/heartbeat-codec.ts';
import {createSealer} from '../../src/peers/seal.ts';
import {
	maximumRowsPerDatagram,
	createPeerMessageCodec,
	maximumRunsPerDatagram,
} from '../../src/peers/peer-message-codec.ts';
import type {DemandMessage} from '../../src/peers/demand-messages.ts';
import type {UsageMessage} from '../../src/peers/usage-messages.ts';

const sealer = createSealer('test-key');
const codec = createPeerMessageCodec(sealer);

const count = fc.integer({min: 0, max: 2 ** 40});
const usage = fc.record({
	account: fc.string(),
	requested: count,
	admitted: count,
});
const total = fc.record({
	account: fc.string(),
	total: fc.record({requested: count, admitted: count}),
	admittedByUnreachable: count,
});
const message: fc.Arbitrary<UsageMessage> = fc.oneof(
	fc.record({
		kind: fc.constant('node' as const),
		from: fc.string(),
		usages: fc.array(usage, {maxLength: maximumRowsPerDatagram}),
	}),
	fc.record({
		kind: fc.constant('zone' as const),
		from: fc.string(),
		usage: fc.record({
			nodeFraction: fc.constantFrom(1, 0.25, 0),
			usages: fc.array(usage, {maxLength: maximumRowsPerDatagram}),
		}),
	}),
	fc.record({
		kind: fc.constant('totals' as const),
		from: fc.string(),
		totals: fc.record({
			limitFraction: fc.constantFrom(1, 0.5, 0),
			accounts: fc.array(total, {maxLength: maximumRowsPerDatagram}),
		}),
	}),
);

test('decoding an encoded usage message returns the same message', () => {
	fc.assert(
		fc.property(message, (sent) => {
			const [datagram] = codec.encode(sent);
			const received = codec.decode(datagram!);
			assert.equal(JSON.stringify(received), JSON.stringify(sent));
		}),
	);
});

test('a usage message with many accounts is split into datagrams that fit into a packet', () => {
	const usages = Array.from({length: 280}, (_, index) => ({
		account: `account-number-${index}`,
		requested: 1_000_000 + index,
		admitted: 8_000_000 + index,
	}));
	const datagrams = codec.encode({
		kind: 'zone',
		from: 'zone-a',
		usage: {nodeFraction: 1, usages},
	});
	assert.ok(datagrams.every(({length}) => length < 1400));
	const received = datagrams.flatMap((datagram) => {
		const decoded = codec.decode(datagram);
		return decoded?.kind === 'zone' ? decoded.usage.usages : [];
	});
	assert.deepEqual(received, usages);
});

test('random bytes, messages with another seal and messages passed to the heartbeat codec are rejected without an exception', () => {
	const seal = (body: Buffer) => Buffer.concat([sealer.seal(body), body]);
	fc.assert(
		fc.property(fc.uint8Array(), (bytes) => {
			const body = Buffer.from(bytes);
			assert.equal(codec.decode(body), undefined);
			assert.equal(codec.decode(seal(body)), undefined);
			assert.equal(createHeartbeatCodec(sealer).decode(seal(body)), undefined);
		}),
	);
	const [datagram] = codec.encode({kind: 'node', from: 'a', usages: []});
	assert.equal(createHeartbeatCodec(sealer).decode(datagram!), undefined);
	const otherKey = createPeerMessageCodec(createSealer('another-key'));
	assert.equal(otherKey.decode(datagram!), undefined);
});

test('negative counts and fractions above 1 are rejected', () => {
	const usages = [{account: 'a', requested: -1, admitted: 0}];
	const [below] = codec.encode({kind: 'node', from: 'a', usages});
	assert.equal(codec.decode(below!), undefined);
	const [beyond] = codec.encode({
		kind: 'totals',
		from: 'a',
		totals: {limitFraction: 1.5, accounts: []},
	});
	assert.equal(codec.decode(beyond!), undefined);
});

test('decoding encoded crash and quarantine messages returns the same messages', () => {
	const runs = Array.from({length: maximumRunsPerDatagram + 1}, (_, index) => ({
		incarnationId: `i-0123456789 ${1_700_000_000_000 + index}`,
		agoMs: index,
		fingerprint: '0123456789abcdef',
		sentAgoMs: 2 * index,
	}));
	const entries = [{fingerprint: 'a', remainingMs: 1000, level: 2}];
	const datagrams = codec.encode({kind: 'crashes', from: 'node', runs});
	const received = datagrams.map((datagram) => codec.decode(datagram));
	assert.deepEqual(
		received.flatMap((each) => (each?.kind === 'crashes' ? each.runs : [])),
		runs,
	);
	assert.ok(datagrams.every(({length}) => length <= 1400));
	for (const sent of [
		{kind: 'quarantine', from: 'node', entries} as const,
		{kind: 'served', from: 'node', fingerprints: ['a', 'b']} as const,
	]) {
		assert.deepEqual(codec.decode(codec.encode(sent)[0]!), sent);
	}
});

test('decoding encoded backend limits returns the same limits, also when split into several datagrams', () => {
	const limit = fc.record(
		{
			incarnationId: fc.string(),
			perSecond: fc.option(fc.double({min: 0, max: 1000, noNaN: true}), {
				nil: undefined,
			}),
			earliestAgoMs: count,
			latestAgoMs: count,
		},
		{noNullPrototype: true},
	);
	fc.assert(
		fc.property(
			fc.array(limit, {maxLength: maximumRowsPerDatagram * 2}),
			(limits) => {
				const datagrams = codec.encode({
					kind: 'backend-limits',
					from: 'node',
					limits,
				});
				const received = datagrams.flatMap((datagram) => {
					const decoded = codec.decode(datagram);
					return decoded?.kind === 'backend-limits' ? decoded.limits : [];
				});
				assert.deepEqual(received, limits);
			},
		),
	);
});

test('decoding encoded server shutdowns returns the same servers, also when split into several datagrams', () => {
	const server = fc.record(
		{server: fc.string(), incarnationId: fc.string()},
		{noNullPrototype: true},
	);
	fc.assert(
		fc.property(
			fc.array(server, {maxLength: maximumRowsPerDatagram * 2}),
			(servers) => {
				const received = codec
					.encode({kind: 'servers-leaving', from: 'node', servers})
					.flatMap((datagram) => {
						const decoded = codec.decode(datagram);
						return decoded?.kind === 'servers-leaving' ? decoded.servers : [];
					});
				assert.deepEqual(received, servers);
			},
		),
	);
});

const tenths = fc.nat(5000).map((value) => value / 10);
const serverRequests = fc.array(
	fc.record({server: fc.string(), requests: tenths}),
	{maxLength: maximumRowsPerDatagram},
);
const demand: fc.Arbitrary<DemandMessage> = fc.oneof(
	fc.record({
		kind: fc.constantFrom(
			'demand-node' as const,
			'demand-zone' as const,
			'demand-totals' as const,
		),
		from: fc.string(),
		requests: serverRequests,
	}),
	fc.record({
		kind: fc.constant('demand-regions' as const),
		from: fc.string(),
		loads: fc.array(
			fc.record({
				region: fc.string(),
				service: fc.string(),
				load: tenths,
				slots: tenths,
			}),
			{maxLength: maximumRowsPerDatagram},
		),
	}),
	fc.record({
		kind: fc.constant('node-capacities' as const),
		from: fc.string(),
		capacities: fc.array(fc.record({node: fc.string(), capacity: tenths}), {
			maxLength: maximumRowsPerDatagram,
		}),
	}),
);

test('decoding an encoded demand message returns the same message', () => {
	fc.assert(
		fc.property(demand, (sent) => {
			const [datagram] = codec.encode(sent);
			assert.equal(
				JSON.stringify(codec.decode(datagram!)),
				JSON.stringify(sent),
			);
		}),
	);
});

test('a report of more servers than fit into a datagram arrives in parts', () => {
	const requests = Array.from({length: 52}, (_, index) => ({
		server: `server-${index}`,
		requests: index,
	}));
	const datagrams = codec.encode({kind: 'demand-totals', from: 'n', requests});
	assert.equal(datagrams.length, 2);
	assert.deepEqual(
		datagrams.flatMap((datagram) => {
			const part = codec.decode(datagram);
			return part?.kind === 'demand-totals' ? part.requests : [];
		}),
		requests,
	);
});
