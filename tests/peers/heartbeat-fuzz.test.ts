import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {Packr} from 'msgpackr';
import {createDigestTable} from '../../src/digests/index.ts';
import {createMembership, type Member} from '../../src/membership/index.ts';
import {createHeartbeatCodec} from '../../src/peers/heartbeat-codec.ts';
import {createSealer} from '../../src/peers/seal.ts';
import {createRandom} from '../../src/shared/index.ts';

const sealer = createSealer('test key');
const codec = createHeartbeatCodec(sealer);
const packr = new Packr({useRecords: false, variableMapSize: true});

const self: Member = {
	id: 'self',
	availabilityZone: 'zone',
	peerAddress: '10.0.0.1:1',
	callerAddress: '10.0.0.1:2',
	incarnation: 1,
	revision: 0,
	status: 'alive',
};

const sealed = (value: unknown): Buffer => {
	const body = packr.pack(value);
	return Buffer.concat([sealer.seal(body), body]);
};

// Processes a datagram in the same way as a node; no content may cause an exception.
const receive = (datagram: Buffer): 'ignored' | 'taken' => {
	const heartbeat = codec.decode(datagram);
	if (!heartbeat) {
		return 'ignored';
	}

	const membership = createMembership({self, random: createRandom(1)});
	const digests = createDigestTable({
		node: 'self',
		availabilityZone: 'zone',
		incarnation: () => 1,
		sizeOf: codec.sizeOf,
	});
	digests.apply(heartbeat.digests, 0);
	const actions = membership.handle(
		{kind: 'message', message: heartbeat.message},
		0,
	);
	for (const action of actions) {
		if (action.kind === 'send') {
			codec.encode({
				message: action.message,
				stamp: heartbeat.stamp,
				digests: digests.select('zone', 700, 1, 0),
			});
		}
	}

	membership.handle({kind: 'tick'}, 1000);
	return 'taken';
};

test('datagrams of random bytes are ignored', () => {
	fc.assert(
		fc.property(fc.uint8Array({maxLength: 300}), (bytes) => {
			assert.equal(codec.decode(Buffer.from(bytes)), undefined);
		}),
	);
});

test('sealed datagrams with any content are accepted or ignored, and never throw', () => {
	fc.assert(
		fc.property(fc.anything({maxDepth: 3}), (value) => {
			assert.match(receive(sealed(value)), /^(?:ignored|taken)$/v);
		}),
	);
});

test('heartbeats with any one field replaced are accepted or ignored, and never throw', () => {
	const member = ['a', 'zone', '10.0.0.2:1', '10.0.0.2:2', 5, 0, 0];
	const validHeartbeat = [1, 0, 7, member, [member], '', [], [3, '']];
	const paths = fc.constantFrom<readonly number[]>(
		[1],
		[2],
		[3],
		[3, 0],
		[3, 2],
		[3, 4],
		[3, 6],
		[4],
		[4, 0],
		[4, 0, 0],
		[4, 0, 5],
		[5],
		[6],
		[7],
		[7, 0],
	);
	fc.assert(
		fc.property(paths, fc.anything({maxDepth: 2}), (path, value) => {
			const changed = structuredClone(validHeartbeat) as unknown[];
			let parent = changed;
			for (const index of path.slice(0, -1)) {
				parent = parent[index] as unknown[];
			}

			parent[path.at(-1) ?? 0] = value;
			assert.match(receive(sealed(changed)), /^(?:ignored|taken)$/v);
		}),
	);
});
