// Guards against nodes that misjudge the load of servers when many nodes share a region: each node knows only its own requests.
// Simulates light requests through few and many nodes without a network and checks which servers the nodes choose.
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
const durationMs = 10_000;
// Time until the moving averages are meaningful.
const warmUpMs = 4000;
// Above this cost, a node considers other regions.
const regionalCostLimit = 1;

const placement = {
	service: 'engine',
	promptTokens: 300,
	targetMs: 1000,
	excluded: new Set<string>(),
};

type Result = {
	/**
	Fraction of the requests for which another region would have been considered.
	*/
	readonly expensive: number;
	/**
	Maximum number of requests in flight at one server.
	*/
	readonly maximumInFlight: number;
};

const simulate = (
	nodes: number,
	without: readonly Mechanism[] = [],
): Result => {
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
	const inFlight = new Map<string, number>();
	let expensive = 0;
	let total = 0;
	let maximumInFlight = 0;
	const endUntil = (now: number) => {
		while (held[0] && held[0].until <= now) {
			const {attempt} = held.shift()!;
			inFlight.set(attempt.server, inFlight.get(attempt.server)! - 1);
			attempt.end('answered', now);
		}
	};

	for (let now = 0; now < durationMs; now += 1000 / requestsPerSecond) {
		endUntil(now);
		const fleet = fleets[random.below(nodes)]!;
		const choice = fleet.choose(placement, now);
		if (now > warmUpMs) {
			total += 1;
			expensive +=
				choice.kind === 'server' && choice.cost <= regionalCostLimit ? 0 : 1;
		}

		if (choice.kind !== 'server') {
			continue;
		}

		const attempt = fleet.begin(choice.id, placement, now);
		attempt.recordFirstEvent(now);
		held.push({attempt, until: now + holdMs});
		const count = (inFlight.get(choice.id) ?? 0) + 1;
		inFlight.set(choice.id, count);
		maximumInFlight = Math.max(maximumInFlight, count);
	}

	return {expensive: expensive / total, maximumInFlight};
};

for (const nodes of [3, 20, 65]) {
	test(`${nodes} nodes use half of a region's capacity without considering other regions`, (t: TestContext) => {
		const {expensive, maximumInFlight} = simulate(nodes);
		t.assert.ok(expensive < 0.01, `${expensive} of the requests`);
		t.assert.ok(
			maximumInFlight <= slots * 1.5,
			`${maximumInFlight} requests at one server`,
		);
	});
}

test('without smoothing, a node among many considers idle servers full', (t: TestContext) => {
	const {expensive} = simulate(65, ['smoothed-load']);
	t.assert.ok(expensive > 0.1, `${expensive} of the requests`);
});
