import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {BackendServer} from '../../src/configuration/index.ts';
import {
	anyIncarnation,
	createFleet,
	defaultFleetParameters,
	type FleetEvent,
	unnamedIncarnation,
} from '../../src/fleet/index.ts';

const server = (id: string): BackendServer => ({
	id,
	service: 'service',
	availabilityZone: 'a',
	address: '127.0.0.1:1',
	labels: {},
	slots: 10,
	costPerThousandTokens: 1,
	checksFence: false,
});

const servers = [server('x'), server('y')];

const create = () => {
	const fleet = createFleet();
	fleet.handle({kind: 'configured', backendServers: servers}, 0);
	return fleet;
};

const report = (running: number, incarnation = 'one') => ({
	running,
	queued: 0,
	slots: 10,
	incarnation,
});
const idsOf = (fleet: ReturnType<typeof create>, now: number) =>
	servers
		.map(({id}) => id)
		.filter((id) => fleet.candidate(id, now) !== undefined);
const loadOf = (fleet: ReturnType<typeof create>, now: number) =>
	fleet.states(now).find(({id}) => id === 'x')!.load;

test('the load is the report plus the requests sent since, and at least the requests known to be in flight', () => {
	const fleet = create();
	fleet.handle(
		{
			kind: 'load-reported',
			backendServer: 'x',
			report: report(4),
			observedAt: 0,
		},
		0,
	);
	fleet.handle({kind: 'attempt-started', backendServer: 'x'}, 0);
	assert.equal(loadOf(fleet, 0), 5);
	fleet.handle({kind: 'peer-in-flight', node: 'p', counts: {x: 8}}, 0);
	assert.equal(loadOf(fleet, 0), 9);
	fleet.handle({kind: 'peer-gone', node: 'p'}, 0);
	assert.equal(loadOf(fleet, 0), 5);
});

test('the weight of a report decreases with its age', () => {
	const fleet = create();
	fleet.handle(
		{
			kind: 'load-reported',
			backendServer: 'x',
			report: report(8),
			observedAt: 0,
		},
		0,
	);
	assert.ok(loadOf(fleet, defaultFleetParameters.reportDecayMs) < 3.5);
});

test('a server in shutdown is no candidate, whatever reports follow, until a new process reports', () => {
	const fleet = create();
	fleet.handle(
		{
			kind: 'load-reported',
			backendServer: 'x',
			report: report(0),
			observedAt: 0,
		},
		0,
	);
	fleet.handle({kind: 'leaving', backendServer: 'x', incarnation: 'one'}, 1);
	fleet.handle(
		{
			kind: 'load-reported',
			backendServer: 'x',
			report: report(0),
			observedAt: 2,
		},
		2,
	);
	assert.deepEqual(idsOf(fleet, 3), ['y']);
	fleet.handle(
		{
			kind: 'load-reported',
			backendServer: 'x',
			report: report(0, 'two'),
			observedAt: 4,
		},
		4,
	);
	assert.deepEqual(idsOf(fleet, 5), ['x', 'y']);
});

test('a shutdown announced before the first report takes effect', () => {
	const fleet = create();
	fleet.handle({kind: 'leaving', backendServer: 'x', incarnation: 'one'}, 0);
	assert.deepEqual(idsOf(fleet, 1), ['y']);
	const other = create();
	other.handle(
		{kind: 'leaving', backendServer: 'x', incarnation: anyIncarnation},
		0,
	);
	other.handle(
		{
			kind: 'load-reported',
			backendServer: 'x',
			report: report(0),
			observedAt: 1,
		},
		1,
	);
	assert.deepEqual(idsOf(other, 2), ['y']);
});

test('a server that fails repeatedly is ejected, longer each time, and returns with slow start', () => {
	const fleet = create();
	const fail = (now: number) => {
		fleet.handle({kind: 'attempt-started', backendServer: 'x'}, now);
		fleet.handle(
			{kind: 'attempt-ended', backendServer: 'x', end: 'unreachable'},
			now,
		);
	};

	fail(0);
	fail(0);
	assert.deepEqual(idsOf(fleet, 0), ['x', 'y']);
	fail(0);
	assert.deepEqual(idsOf(fleet, 0), ['y']);
	const {ejectionMs} = defaultFleetParameters;
	assert.deepEqual(idsOf(fleet, ejectionMs + 1), ['x', 'y']);
	fail(ejectionMs + 1);
	assert.deepEqual(idsOf(fleet, 2 * ejectionMs + 2), ['y']);
	fleet.handle({kind: 'attempt-started', backendServer: 'x'}, 100_000);
	fleet.handle(
		{kind: 'attempt-ended', backendServer: 'x', end: 'answered'},
		100_000,
	);
	assert.ok(fleet.candidate('x', 100_000)!.weight < 0.1);
	assert.equal(fleet.candidate('x', 200_000)!.weight, 1);
});

test('a full server is not a candidate', () => {
	const fleet = create();
	fleet.handle(
		{
			kind: 'load-reported',
			backendServer: 'x',
			report: report(15),
			observedAt: 0,
		},
		0,
	);
	assert.deepEqual(idsOf(fleet, 0), ['y']);
});

test('in any order of events, a server in shutdown is never a candidate with the same process', () => {
	const event: fc.Arbitrary<FleetEvent> = fc.oneof(
		fc.constant({kind: 'woken'} as const),
		fc.constant({kind: 'attempt-started', backendServer: 'x'} as const),
		fc.constant({
			kind: 'attempt-ended',
			backendServer: 'x',
			end: 'answered',
		} as const),
		fc.constant({kind: 'configured', backendServers: servers} as const),
		fc.nat({max: 9}).map(
			(running) =>
				({
					kind: 'load-reported',
					backendServer: 'x',
					report: report(running),
					observedAt: running,
				}) as const,
		),
		fc.constant({
			kind: 'leaving',
			backendServer: 'x',
			incarnation: 'one',
		} as const),
	);
	fc.assert(
		fc.property(fc.array(event, {maxLength: 40}), (events) => {
			const fleet = create();
			let isLeaving = false;
			for (const [now, one] of events.entries()) {
				fleet.handle(one, now);
				isLeaving ||= one.kind === 'leaving';
				assert.ok(!isLeaving || !idsOf(fleet, now).includes('x'));
			}
		}),
		{numRuns: 2000},
	);
});

test('the typical time to the first token of two servers is that of the faster one', () => {
	const fleet = create();
	for (let count = 0; count < 50; count += 1) {
		fleet.handle({kind: 'first-token', backendServer: 'y', elapsedMs: 3000}, 0);
	}

	assert.ok(fleet.capacity(servers, 1000).typicalFirstTokenMs < 100);
});

test('a server in backoff is no candidate until the backoff ends, and then returns with slow start', () => {
	const fleet = create();
	fleet.handle({kind: 'resting', backendServer: 'x', until: 3000}, 0);
	fleet.handle({kind: 'resting', backendServer: 'x', until: 1000}, 100);
	assert.deepEqual(idsOf(fleet, 2999), ['y']);
	assert.equal(fleet.backoffRemainingMs('x', 1000), 2000);
	assert.deepEqual(idsOf(fleet, 3000), ['x', 'y']);
	assert.ok(fleet.candidate('x', 3000)!.weight < 0.1);
});

test('the summary for other zones counts a server in backoff as full, not as missing', () => {
	const fleet = create();
	fleet.handle({kind: 'resting', backendServer: 'x', until: 3000}, 0);
	assert.equal(fleet.capacity(servers, 0).slots, 10);
	const {slots, load} = fleet.summary(servers, 0);
	assert.deepEqual([slots, load], [20, 10]);
});

test('a backoff ends with the process that asked for it', () => {
	const fleet = create();
	const reported = (incarnation: string, observedAt: number): FleetEvent => ({
		kind: 'load-reported',
		backendServer: 'x',
		report: report(0, incarnation),
		observedAt,
	});
	fleet.handle(reported('one', 0), 0);
	fleet.handle({kind: 'resting', backendServer: 'x', until: 3000}, 0);
	fleet.handle(reported('one', 100), 100);
	assert.deepEqual(idsOf(fleet, 100), ['y']);
	fleet.handle(reported('two', 200), 200);
	assert.deepEqual(idsOf(fleet, 200), ['x', 'y']);
});

test('a shutdown announced before the first load report applies to the process that the report names', () => {
	const fleet = create();
	fleet.handle(
		{kind: 'leaving', backendServer: 'x', incarnation: unnamedIncarnation},
		0,
	);
	assert.deepEqual(idsOf(fleet, 0), ['y']);
	for (const [incarnation, expected] of [
		['one', ['y']],
		['two', ['x', 'y']],
	] as const) {
		fleet.handle(
			{
				kind: 'load-reported',
				backendServer: 'x',
				report: report(0, incarnation),
				observedAt: 1,
			},
			1,
		);
		assert.deepEqual(idsOf(fleet, 1), expected);
	}
});
