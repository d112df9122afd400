import {test, type TestContext} from 'node:test';
import {
	createNodeJoiner,
	rejoinIntervalMs,
} from '../../../src/gateway/sharing/node-joiner.ts';
import type {Mesh, PeerClient} from '../../../src/mesh/index.ts';
import {memberOf} from '../../fixtures.ts';

const spanMs = 40_000;

// Returns how often one of this many nodes, all of which are known, asks a seed.
const callsBy = (nodes: number): number => {
	const others = Array.from({length: nodes - 1}, (_, index) =>
		memberOf(`node-${index + 2}`, 'zone-a'),
	);
	const mesh: Partial<Mesh> = {
		self: () => memberOf('node-1', 'zone-a'),
		others: () => others,
		lastReceivedAt: () => 0,
		mergeMembers: () => undefined,
	};
	let calls = 0;
	const peerClient: Partial<PeerClient> = {
		async members() {
			calls += 1;
			return [];
		},
	};
	const joiner = createNodeJoiner({
		mesh: mesh as Mesh,
		peerClient: peerClient as PeerClient,
		seeds: () => ['10.0.0.9:1', '10.0.0.8:1'],
		ownAddresses: [],
		random: {below: () => 0, fraction: () => 0},
	});
	for (let now = 0; now < spanMs; now += 100) {
		joiner.tick(now);
	}

	return calls;
};

test('the rate at which all nodes together ask seeds does not depend on their number', (t: TestContext) => {
	t.assert.strictEqual(callsBy(9), spanMs / rejoinIntervalMs);
	t.assert.ok(callsBy(195) * 195 <= (spanMs / 1000) * 10 + 195);
	t.assert.ok(callsBy(195) >= 2);
});
