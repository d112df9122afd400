import {test, type TestContext} from 'node:test';
import {
	createNodeJoiner,
	rejoinIntervalMs,
} from '../../../src/gateway/sharing/node-joiner.ts';
import type {Mesh, PeerClient} from '../../../src/mesh/index.ts';
import {memberOf} from '../../fixtures.ts';

const spanMs = 40_000;

// Questions to seeds by one of so many nodes, all of which are known.
const questionsOf = (nodes: number): number => {
	const others = Array.from({length: nodes - 1}, (_, index) =>
		memberOf(`node-${index + 2}`, 'zone-a'),
	);
	const mesh: Partial<Mesh> = {
		self: () => memberOf('node-1', 'zone-a'),
		others: () => others,
		lastReceivedAt: () => 0,
		mergeMembers: () => undefined,
	};
	let asked = 0;
	const questions: Partial<PeerClient> = {
		async members() {
			asked += 1;
			return [];
		},
	};
	const joiner = createNodeJoiner({
		mesh: mesh as Mesh,
		peerClient: questions as PeerClient,
		seeds: () => ['10.0.0.9:1', '10.0.0.8:1'],
		ownAddresses: [],
		random: {below: () => 0, fraction: () => 0},
	});
	for (let now = 0; now < spanMs; now += 100) {
		joiner.tick(now);
	}

	return asked;
};

test('seeds are asked as often by all nodes together, however many there are', (t: TestContext) => {
	t.assert.strictEqual(questionsOf(9), spanMs / rejoinIntervalMs);
	t.assert.ok(questionsOf(195) * 195 <= (spanMs / 1000) * 10 + 195);
	t.assert.ok(questionsOf(195) >= 2);
});
