import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {Configuration} from '../../src/configuration/index.ts';
import {createFleet} from '../../src/fleet/index.ts';
import {
	createTargetChooser,
	untried,
	type ReceivedZoneSummary,
} from '../../src/requests/index.ts';
import {
	exampleConfiguration,
	fixedRandom,
	memberOf,
	policyWith,
	requestFor,
} from '../fixtures.ts';

const configuration = exampleConfiguration();
const zones = ['abj-wuse', 'ibd-bodija', 'phc-transamadi'];

const create = (
	options: {
		readonly current?: Configuration;
		readonly reachable?: readonly string[];
		readonly summary?: Partial<ReceivedZoneSummary>;
	} = {},
) => {
	const current = options.current ?? configuration;
	const fleet = createFleet();
	fleet.handle(
		{
			kind: 'configured',
			backendServers: current.backendServers.filter(
				({availabilityZone}) => availabilityZone === 'abj-wuse',
			),
		},
		0,
	);
	const reachable = options.reachable ?? zones;
	const chooser = createTargetChooser({
		availabilityZone: 'abj-wuse',
		fleet,
		limits: {canSend: () => true, rateOf: () => undefined},
		random: fixedRandom(),
		configuration: () => current,
		membersIn: (zone) =>
			reachable.includes(zone)
				? [memberOf(`${zone}-1`, zone), memberOf(`${zone}-2`, zone)]
				: [],
		summaryOf: () => ({
			load: 0,
			slots: 64,
			firstTokenMs: 30,
			costPerThousandTokens: 1,
			ageMs: 0,
			...options.summary,
		}),
	});
	return {fleet, chooser};
};

const homeFirst = policyWith({
	kind: 'home-first',
	overflowAtLoad: 0.9,
	advantage: 1.5,
	maximumAwayShare: 0.5,
});

test('a request stays in its home region while that has capacity', () => {
	const {chooser} = create();
	const choice = chooser.choose(
		requestFor(configuration, {policy: homeFirst}),
		untried,
		0,
	);
	assert.strictEqual(choice.kind, 'backend-server');
	assert.strictEqual(choice.region, 'abuja');
	assert.equal(chooser.awayShare(), 0);
});

test('a request bound to another region goes to a node there', () => {
	const {chooser} = create();
	const claim = {requested: ['ibadan'], client: configuration.clients[0]!};
	const choice = chooser.choose(
		requestFor(configuration, {claim, homeRegion: 'ibadan'}),
		untried,
		0,
	);
	assert.strictEqual(choice.kind, 'peer');
	assert.strictEqual(choice.member.availabilityZone, 'ibd-bodija');
});

test('a request bound to an unreachable region is refused at once and never sent to another region', () => {
	const {chooser} = create({reachable: ['abj-wuse']});
	const claim = {requested: ['ibadan'], client: configuration.clients[0]!};
	const choice = chooser.choose(requestFor(configuration, {claim}), untried, 0);
	assert.strictEqual(choice.kind, 'none');
	assert.strictEqual(choice.error.kind, 'residency-unavailable');
	assert.strictEqual(choice.error.outcome, 'not-run');
});

test('a full home region overflows to a region with capacity; if all servers are full, the request waits', () => {
	const {chooser, fleet} = create();
	const busy = {running: 90, queued: 0, slots: 64, incarnation: 'i'};
	for (const {id} of configuration.backendServers) {
		fleet.handle(
			{kind: 'load-reported', backendServer: id, report: busy, observedAt: 0},
			0,
		);
		fleet.handle({kind: 'first-token', backendServer: id, elapsedMs: 5000}, 0);
	}

	const away = chooser.choose(
		requestFor(configuration, {policy: homeFirst}),
		untried,
		0,
	);
	assert.equal(away.kind, 'peer');
	const bound = {requested: ['abuja'], client: configuration.clients[0]!};
	fleet.handle(
		{
			kind: 'load-reported',
			backendServer: 'quill-scribes-1',
			report: {...busy, running: 200},
			observedAt: 0,
		},
		0,
	);
	fleet.handle(
		{
			kind: 'load-reported',
			backendServer: 'quill-scribes-4',
			report: {...busy, running: 200},
			observedAt: 0,
		},
		0,
	);
	fleet.handle(
		{
			kind: 'load-reported',
			backendServer: 'quill-scribes-7',
			report: {...busy, running: 200},
			observedAt: 0,
		},
		0,
	);
	assert.equal(
		chooser.choose(
			requestFor(configuration, {policy: homeFirst, claim: bound}),
			untried,
			0,
		).kind,
		'busy',
	);
});

test('for any load, policy and failures, a choice obeys the residency and a forwarded request stays in the zone', () => {
	const strategy = fc.constantFrom(
		{kind: 'round-robin'} as const,
		{kind: 'least-loaded'} as const,
		{kind: 'power-of-two'} as const,
		{kind: 'prefix-affinity', loadBound: 1.2} as const,
		{kind: 'cheapest', firstTokenObjectiveMs: 40} as const,
		homeFirst.strategy,
	);
	const regions = fc.subarray(['abuja', 'ibadan', 'port-harcourt'], {
		minLength: 1,
	});
	const excluded = fc.subarray([
		...configuration.backendServers.map(({id}) => id),
		...zones.map((zone) => `${zone}-1`),
	]);
	fc.assert(
		fc.property(
			strategy,
			fc.option(regions, {nil: undefined}),
			fc.subarray(zones),
			excluded,
			fc.boolean(),
			fc.nat({max: 120}),
			(kind, requested, reachable, failed, isForwarded, load) => {
				const {chooser, fleet} = create({reachable, summary: {load}});
				for (const {id} of configuration.backendServers) {
					fleet.handle(
						{
							kind: 'load-reported',
							backendServer: id,
							report: {running: load, queued: 0, slots: 64, incarnation: 'i'},
							observedAt: 0,
						},
						0,
					);
				}

				const client = configuration.clients[2]!;
				const request = requestFor(configuration, {
					policy: policyWith(kind),
					client,
					claim: {requested, client},
				});
				for (let turn = 0; turn < 3; turn += 1) {
					const choice = chooser.choose(
						request,
						{excluded: new Set(failed), isForwarded},
						0,
					);
					if (choice.kind === 'backend-server' || choice.kind === 'peer') {
						// The client account is bound to abuja, so no other region may be chosen.
						assert.equal(choice.cleared.region, 'abuja');
						assert.ok(requested?.includes('abuja') ?? true);
					}

					assert.ok(!isForwarded || choice.kind !== 'peer');
					assert.ok(
						choice.kind !== 'backend-server' ||
							!failed.includes(choice.server.id),
					);
				}
			},
		),
		{numRuns: 1500},
	);
});
