import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	chooseBackendServer,
	chooseZone,
	isFull,
	overflowHysteresis,
	type BackendServerCandidate,
	type CandidatePool,
	type ZoneCandidate,
} from '../../src/routing/index.ts';
import type {BackendServer, Strategy} from '../../src/configuration/index.ts';
import {fixedRandom} from '../fixtures.ts';

const server = (
	id: string,
	change: Partial<BackendServerCandidate> = {},
): BackendServerCandidate => ({
	id,
	load: 0,
	slots: 64,
	expectedFirstTokenMs: 30,
	costPerThousandTokens: 1,
	weight: 1,
	...change,
});

const zone = (
	region: string,
	change: Partial<ZoneCandidate> = {},
): ZoneCandidate => ({
	availabilityZone: `${region}-a`,
	region,
	isLocal: false,
	isHome: false,
	load: 0,
	slots: 100,
	expectedFirstTokenMs: 100,
	costPerThousandTokens: 1,
	trust: 1,
	...change,
});

const poolOf = (
	candidates: readonly BackendServerCandidate[],
): CandidatePool => {
	const byId = new Map(
		candidates.map((candidate) => [candidate.id, candidate]),
	);
	const times = candidates
		.map(({expectedFirstTokenMs}) => expectedFirstTokenMs)
		.toSorted((left, right) => left - right);
	const sumOf = (figure: 'load' | 'slots') => {
		let sum = 0;
		for (const candidate of candidates) {
			sum += candidate[figure];
		}

		return sum;
	};

	return {
		servers: candidates.map(({id}) => ({
			id,
		})) as unknown as readonly BackendServer[],
		candidateFor: ({id}) => byId.get(id),
		meanUtilization: sumOf('load') / Math.max(1, sumOf('slots')),
		typicalFirstTokenMs: times[Math.floor(times.length / 2)] ?? 0,
	};
};

const contextAt = (turn: number) => ({
	prefixKey: 'p',
	turn,
	random: fixedRandom(),
});
const strategies: readonly Strategy[] = [
	{kind: 'round-robin'},
	{kind: 'least-loaded'},
	{kind: 'power-of-two'},
	{kind: 'prefix-affinity', loadBound: 1.5},
	{kind: 'cheapest', firstTokenObjectiveMs: 50},
	{
		kind: 'home-first',
		overflowAtLoad: 0.9,
		advantage: 1.5,
		maximumAwayShare: 0.5,
	},
];

test('every strategy chooses one of its candidates, or none if there are none', () => {
	const candidate = fc.record({
		load: fc.integer({min: 0, max: 200}),
		slots: fc.integer({min: 1, max: 100}),
		expectedFirstTokenMs: fc.integer({min: 0, max: 5000}),
		costPerThousandTokens: fc.integer({min: 0, max: 5}),
		weight: fc.double({min: 0.05, max: 1, noNaN: true}),
	});
	fc.assert(
		fc.property(
			fc.array(candidate, {maxLength: 12}),
			fc.constantFrom(...strategies),
			fc.nat(),
			(list, strategy, turn) => {
				const candidates = list.map((entry, index) => ({
					...entry,
					id: String(index),
				}));
				const chosen = chooseBackendServer(
					strategy,
					poolOf(candidates),
					contextAt(turn),
				);
				assert.equal(chosen === undefined, candidates.length === 0);
				assert.ok(chosen === undefined || candidates.includes(chosen));
			},
		),
		{numRuns: 2000},
	);
});

test('round robin chooses the servers in order', () => {
	const candidates = ['a', 'b', 'c'].map((id) => server(id));
	const chosen = [0, 1, 2, 3].map(
		(turn) =>
			chooseBackendServer(
				{kind: 'round-robin'},
				poolOf(candidates),
				contextAt(turn),
			)!.id,
	);
	assert.deepEqual(chosen, ['a', 'b', 'c', 'a']);
});

test('power of two choices avoids slow and full servers', () => {
	const candidates = [
		server('a'),
		server('slow', {expectedFirstTokenMs: 300}),
		server('c'),
		server('full', {load: 64}),
	];
	const random = fixedRandom();
	const counts = new Map<string, number>();
	for (let turn = 0; turn < 1000; turn += 1) {
		const {id} = chooseBackendServer(
			{kind: 'power-of-two'},
			poolOf(candidates),
			{
				prefixKey: '',
				turn,
				random,
			},
		)!;
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	assert.ok(
		(counts.get('slow') ?? 0) + (counts.get('full') ?? 0) < 250,
		JSON.stringify([...counts]),
	);
});

test('prefix affinity sends a prefix to one server until its load exceeds the bound', () => {
	const strategy = {kind: 'prefix-affinity', loadBound: 1.5} as const;
	const candidates = ['a', 'b', 'c', 'd'].map((id) => server(id, {load: 10}));
	const preferred = chooseBackendServer(
		strategy,
		poolOf(candidates),
		contextAt(0),
	)!;
	assert.equal(
		chooseBackendServer(strategy, poolOf(candidates), contextAt(1))!.id,
		preferred.id,
	);
	const loaded = candidates.map((candidate) =>
		candidate.id === preferred.id ? {...candidate, load: 60} : candidate,
	);
	assert.notEqual(
		chooseBackendServer(strategy, poolOf(loaded), contextAt(2))!.id,
		preferred.id,
	);
});

test('cheapest chooses the lowest cost among the servers within the latency objective', () => {
	const strategy = {kind: 'cheapest', firstTokenObjectiveMs: 50} as const;
	const candidates = [
		server('dear', {costPerThousandTokens: 3}),
		server('cheap', {costPerThousandTokens: 1}),
		server('cheapest but slow', {
			costPerThousandTokens: 0.5,
			expectedFirstTokenMs: 200,
		}),
	];
	assert.equal(
		chooseBackendServer(strategy, poolOf(candidates), contextAt(0))!.id,
		'cheap',
	);
});

const homeFirst = {
	kind: 'home-first',
	overflowAtLoad: 0.9,
	advantage: 1.5,
	maximumAwayShare: 0.5,
} as const;
const noOverflow = {
	turn: 0,
	random: fixedRandom(),
	awayShare: 0,
	isOverflowing: false,
};
const home = zone('home', {
	isLocal: true,
	isHome: true,
	expectedFirstTokenMs: 30,
});

test('home first stays in the home region while that has capacity', () => {
	assert.equal(
		chooseZone(
			homeFirst,
			[zone('away', {expectedFirstTokenMs: 1}), home],
			noOverflow,
		)!.region,
		'home',
	);
});

test('home first overflows only if home is full, the other zone is faster by the advantage and the away share is below its maximum', () => {
	const full = {...home, load: 95, expectedFirstTokenMs: 400};
	const away = zone('away', {expectedFirstTokenMs: 100});
	assert.equal(chooseZone(homeFirst, [full, away], noOverflow)!.region, 'away');
	assert.equal(
		chooseZone(
			homeFirst,
			[full, {...away, expectedFirstTokenMs: 300}],
			noOverflow,
		)!.region,
		'home',
	);
	assert.equal(
		chooseZone(homeFirst, [full, {...away, load: 95}], noOverflow)!.region,
		'home',
	);
	assert.equal(
		chooseZone(homeFirst, [full, away], {...noOverflow, awayShare: 0.6})!
			.region,
		'home',
	);
});

test('overflow ends at a lower load than it begins', () => {
	const zoneAt = (load: number) => ({...home, load});
	assert.ok(!isFull(zoneAt(85), 0.9, false));
	assert.ok(isFull(zoneAt(85), 0.9, true));
	assert.ok(!isFull(zoneAt(100 * (0.9 - overflowHysteresis) - 1), 0.9, true));
});

test('another zone of the home region is preferred to other regions', () => {
	const full = {...home, load: 100, expectedFirstTokenMs: 900};
	const neighbour = zone('home', {
		availabilityZone: 'home-b',
		isHome: true,
		expectedFirstTokenMs: 100,
	});
	assert.equal(
		chooseZone(
			homeFirst,
			[full, zone('away', {expectedFirstTokenMs: 1}), neighbour],
			noOverflow,
		)!.availabilityZone,
		'home-b',
	);
});

test('cheapest never chooses a zone that costs more than home while home has capacity', () => {
	const expensive = zone('dear', {
		costPerThousandTokens: 2,
		expectedFirstTokenMs: 1,
	});
	const busyHome = {...home, load: 80, costPerThousandTokens: 1};
	for (let turn = 0; turn < 50; turn += 1) {
		const context = {...noOverflow, turn, random: fixedRandom()};
		const chosen = chooseZone(
			{kind: 'cheapest', firstTokenObjectiveMs: 400},
			[busyHome, expensive],
			context,
		);
		assert.equal(chosen!.region, 'home');
	}
});
