// Plays the light requests of one region by way of few and of many nodes, and checks which servers the
// nodes choose: there is no network, and each node sees its own requests only.
import {test, type TestContext} from 'node:test';
import {
	createBackendFleet,
	type BackendAttempt,
	type BackendFleet,
} from '../../src/backends/index.ts';
import type {Mechanism} from '../../src/mechanisms/index.ts';
import {createRandom} from '../../src/shared/index.ts';
import {fleetOptionsOf, knownServerOf, serviceOf} from '../gateway/fixtures.ts';

const servers = Array.from({length: 19}, (_, index) => `server-${index}`);
const slots = 16;
const requestsPerSecond = 600;
const holdMs = 250;
const spanMs = 10_000;
// The means are not known before.
const warmMs = 4000;
// Beyond this cost a node looks for another region.
const comfortableCost = 1;

const placement = {
	service: 'engine',
	promptTokens: 300,
	targetMs: 1000,
	excluded: new Set<string>(),
};

type Played = {
	/**
	Part of the requests that would have looked for another region.
	*/
	readonly uncomfortable: number;
	/**
	The most requests that were under way at one server.
	*/
	readonly busiest: number;
};

const play = (nodes: number, without: readonly Mechanism[] = []): Played => {
	const random = createRandom(7);
	const fleets: BackendFleet[] = Array.from({length: nodes}, () => {
		const fleet = createBackendFleet({
			...fleetOptionsOf(),
			without: new Set(without),
			nodesServing: () => nodes,
			service: () => serviceOf({engine: {slots, memoryTokens: 300_000}}),
			randomFraction: random.fraction,
		});
		fleet.sync(new Map(servers.map((id) => [id, knownServerOf(id, slots)])), 0);
		return fleet;
	});
	const held: Array<{
		readonly attempt: BackendAttempt;
		readonly until: number;
	}> = [];
	const underWay = new Map<string, number>();
	let uncomfortable = 0;
	let asked = 0;
	let busiest = 0;
	const endUntil = (now: number) => {
		while (held[0] && held[0].until <= now) {
			const {attempt} = held.shift()!;
			underWay.set(attempt.server, underWay.get(attempt.server)! - 1);
			attempt.end('answered', now);
		}
	};

	for (let now = 0; now < spanMs; now += 1000 / requestsPerSecond) {
		endUntil(now);
		const fleet = fleets[random.below(nodes)]!;
		const choice = fleet.choose(placement, now);
		if (now > warmMs) {
			asked += 1;
			uncomfortable +=
				choice.kind === 'server' && choice.cost <= comfortableCost ? 0 : 1;
		}

		if (choice.kind !== 'server') {
			continue;
		}

		const attempt = fleet.begin(choice.id, placement, now);
		attempt.recordFirstEvent(now);
		held.push({attempt, until: now + holdMs});
		const count = (underWay.get(choice.id) ?? 0) + 1;
		underWay.set(choice.id, count);
		busiest = Math.max(busiest, count);
	}

	return {uncomfortable: uncomfortable / asked, busiest};
};

for (const nodes of [3, 20, 65]) {
	test(`half of a region's room is used without another region by way of ${nodes} nodes`, (t: TestContext) => {
		const {uncomfortable, busiest} = play(nodes);
		t.assert.ok(uncomfortable < 0.01, `${uncomfortable} of the requests`);
		t.assert.ok(busiest <= slots * 1.5, `${busiest} requests at one server`);
	});
}

test('taken by its one request of the moment a node among many finds idle servers full', (t: TestContext) => {
	const {uncomfortable} = play(65, ['smoothed-load']);
	t.assert.ok(uncomfortable > 0.1, `${uncomfortable} of the requests`);
});
