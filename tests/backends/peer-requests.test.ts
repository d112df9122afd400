// Guards against nodes that misjudge servers of which each node's equal share is below one request. Simulates requests through
// many nodes without a network; the nodes exchange their requests in flight with the delay of messages.
import {test, type TestContext} from 'node:test';
import {
	createBackendFleet,
	createPeerRequests,
	peerReportMaximumAgeMs,
	type BackendAttempt,
	type BackendFleet,
} from '../../src/backends/index.ts';
import {createRandom, type Random} from '../../src/shared/index.ts';
import {fleetOptionsOf, knownServerOf, serviceOf} from '../gateway/fixtures.ts';

const reportIntervalMs = 400;
const serverQueue = 24;
const slots = 6;
const service = 'engine';
const placement = {
	service,
	promptTokens: 0,
	targetMs: 600,
	priority: 2,
	excluded: new Set<string>(),
};

type Load = {
	readonly nodes: number;
	readonly servers: number;
	/**
	Offered work as a multiple of what the servers can run.
	*/
	readonly offered: number;
	readonly workMs: number;
	/**
	Number of requests that arrive together at one node.
	*/
	readonly clump: number;
	readonly seconds: number;
	readonly sharesReports: boolean;
};

type Server = {running: number; readonly waiting: Array<() => void>};

// Returns the fraction of the requests that the nodes refused, or that servers turned away because their queue was full.
const refusedFraction = (load: Load, random: Random): number => {
	const ids = Array.from({length: load.servers}, (_, index) => `s-${index}`);
	const servers = new Map<string, Server>(
		ids.map((id) => [id, {running: 0, waiting: []}]),
	);
	const fleets: BackendFleet[] = Array.from({length: load.nodes}, () => {
		const fleet = createBackendFleet({
			...fleetOptionsOf({
				randomFraction: random.fraction,
				urgencyLevels: () => (load.sharesReports ? [2] : undefined),
			}),
			nodesServing: () => load.nodes,
			service: () => serviceOf(),
		});
		fleet.sync(new Map(ids.map((id) => [id, knownServerOf(id, slots)])), 0);
		return fleet;
	});
	const events: Array<{readonly at: number; readonly act: () => void}> = [];
	const after = (at: number, act: () => void) => {
		const index = events.findIndex((event) => event.at > at);
		events.splice(index === -1 ? events.length : index, 0, {at, act});
	};

	let now = 0;
	const run = (server: Server, attempt: BackendAttempt) => {
		server.running += 1;
		const workMs = load.workMs * (0.5 + random.fraction());
		after(now + workMs, () => {
			server.running -= 1;
			attempt.end('answered', now);
			server.waiting.shift()?.();
		});
	};

	const shareReports = () => {
		const counts = new Map<string, number>();
		const own = fleets.map(
			(fleet) =>
				new Map(
					fleet.requestsAt(service).map(({id, inFlight}) => [id, inFlight]),
				),
		);
		for (const reported of own) {
			for (const [id, count] of reported) {
				counts.set(id, (counts.get(id) ?? 0) + count);
			}
		}

		after(now + reportIntervalMs, () => {
			for (const [index, fleet] of fleets.entries()) {
				const others = new Map(
					[...counts].map(([id, count]) => [id, count - own[index]!.get(id)!]),
				);
				fleet.recordPeerRequests(service, others, now);
			}
		});
	};

	let total = 0;
	let refused = 0;
	const warmUpMs = 2000;
	const send = (fleet: BackendFleet) => {
		const isCounted = now > warmUpMs;
		total += isCounted ? 1 : 0;
		const choice = fleet.choose(placement, now);
		const server =
			choice.kind === 'server' ? servers.get(choice.id)! : undefined;
		if (!server || server.waiting.length >= serverQueue) {
			refused += isCounted ? 1 : 0;
			return;
		}

		const attempt = fleet.begin((choice as {id: string}).id, placement, now);
		if (server.running < slots) {
			run(server, attempt);
		} else {
			server.waiting.push(() => {
				run(server, attempt);
			});
		}
	};

	// Callers send a few requests at once, over one connection and so to one node.
	const sendClump = () => {
		const fleet = fleets[random.below(load.nodes)]!;
		for (let index = 0; index < load.clump; index += 1) {
			send(fleet);
		}
	};

	const perMs =
		(load.offered * load.servers * slots) / load.workMs / load.clump;
	const untilMs = load.seconds * 1000;
	for (
		let at = 0;
		at < untilMs;
		at -= Math.log(1 - random.fraction()) / perMs
	) {
		after(at, sendClump);
	}

	for (let at = 0; load.sharesReports && at < untilMs; at += reportIntervalMs) {
		after(at, shareReports);
	}

	for (let event = events.shift(); event; event = events.shift()) {
		now = event.at;
		event.act();
	}

	return refused / total;
};

const threeQuarters = {
	servers: 2,
	offered: 0.75,
	workMs: 86,
	clump: 3,
	seconds: 30,
} as const;

for (const nodes of [9, 24, 67, 195]) {
	test(`${nodes} nodes before servers of few slots refuse under 2 in 100 at three quarters of the load`, (t: TestContext) => {
		const load = {...threeQuarters, nodes, sharesReports: true};
		const refused = refusedFraction(load, createRandom(3));
		t.assert.ok(refused < 0.02, `${refused} of the requests`);
	});
}

test('without reports many nodes refuse requests while servers are free', (t: TestContext) => {
	const load = {...threeQuarters, nodes: 24, sharesReports: false};
	const refused = refusedFraction(load, createRandom(3));
	t.assert.ok(refused > 0.02, `${refused} of the requests`);
});

test('short requests in an old report are replaced by the mean, long ones are not', (t: TestContext) => {
	const estimateAfter = (durationMs: number): number => {
		const requests = createPeerRequests();
		for (let count = 0; count < 200; count += 1) {
			requests.recordDuration(durationMs);
		}

		requests.record(
			new Map([
				['empty', 0],
				['full', 20],
			]),
			0,
		);
		return requests.estimate('empty', 200)!;
	};

	t.assert.ok(estimateAfter(80) > 9.9);
	t.assert.ok(estimateAfter(10_000) < 1);
});

test('a report expires', (t: TestContext) => {
	const requests = createPeerRequests();
	t.assert.strictEqual(requests.estimate('s', 0), undefined);
	requests.record(new Map([['s', 5]]), 0);
	t.assert.notStrictEqual(
		requests.estimate('s', peerReportMaximumAgeMs),
		undefined,
	);
	t.assert.strictEqual(
		requests.estimate('s', peerReportMaximumAgeMs + 1),
		undefined,
	);
});
