import {Buffer} from 'node:buffer';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	createHeartbeatCodec,
	createSealer,
	type Heartbeat,
} from '../../src/peers/index.ts';
import {memberOf} from '../fixtures.ts';

const codec = createHeartbeatCodec(createSealer('a key of the nodes'));
const entry = {
	reporter: 'n',
	incarnation: 1_796_000_000_000,
	counter: 5,
	ageMs: 10,
	scope: 'everywhere',
	availabilityZone: 'a',
} as const;

const heartbeat: Heartbeat = {
	message: {
		kind: 'ping-request',
		sequence: 7,
		from: memberOf('n', 'a'),
		target: 'm',
		updates: [
			memberOf('m', 'b', {status: 'suspect', incarnation: 1_796_000_000_001}),
		],
	},
	stamp: {version: 3, digest: 'abc'},
	digests: [
		{
			...entry,
			value: {
				kind: 'loads',
				node: 'n',
				reports: [
					{
						backendServer: 's',
						running: 1,
						queued: 2,
						slots: 3,
						incarnation: 'i',
					},
				],
			},
		},
		{...entry, value: {kind: 'in-flight', node: 'n', counts: {s: 4}}},
		{...entry, value: {kind: 'leaving', backendServer: 's', incarnation: 'i'}},
		{
			...entry,
			value: {
				kind: 'zone-summary',
				availabilityZone: 'a',
				services: {
					q: {load: 1, slots: 2, firstTokenMs: 3, costPerThousandTokens: 4},
				},
			},
		},
		{
			...entry,
			value: {
				kind: 'demand',
				holder: 'n',
				availabilityZone: 'a',
				rates: {c: 1.5},
			},
		},
	],
};

test('decoding an encoded heartbeat returns the same heartbeat', () => {
	assert.deepEqual(codec.decode(codec.encode(heartbeat)), heartbeat);
});

test('a heartbeat with one digest of each kind fits into one packet', () => {
	assert.ok(codec.encode(heartbeat).length < 600);
});

test('a datagram with the seal of another key, a changed byte or random content is rejected', () => {
	const datagram = codec.encode(heartbeat);
	assert.equal(
		createHeartbeatCodec(createSealer('another key')).decode(datagram),
		undefined,
	);
	fc.assert(
		fc.property(
			fc.nat({max: datagram.length - 1}),
			fc.integer({min: 1, max: 255}),
			(position, change) => {
				const changed = Buffer.from(datagram);
				changed[position]! ^= change;
				assert.equal(codec.decode(changed), undefined);
			},
		),
	);
	fc.assert(
		fc.property(
			fc.uint8Array({maxLength: 200}),
			(bytes) => codec.decode(Buffer.from(bytes)) === undefined,
		),
	);
});
