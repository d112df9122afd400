import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createBackendFleet,
	probeAnswerDeadlineMs,
	maximumSilenceMs,
	probeIntervalMs,
	silenceThresholdMs,
	type BackendFleetOptions,
	type Placement,
} from '../../src/backends/index.ts';
import {createServerBackoffs} from '../../src/server-statements/index.ts';
import {knownServerOf, serviceOf, unlimited} from '../gateway/fixtures.ts';

const setUp = (
	ids: readonly string[],
	change: Partial<BackendFleetOptions> & {readonly coldUntil?: number} = {},
) => {
	const fleet = createBackendFleet({
		availabilityZone: 'zone-a',
		knownNodes: () => ['node-1'],
		senderRank: () => 0,
		nodesServing: () => 1,
		service: () =>
			serviceOf({
				coldRequestsPerSecond: 4,
				engine: {slots: 8, memoryTokens: 50_000},
			}),
		coldOverrun: 1,
		coldSlack: 0,
		mayUseCold: () => true,
		backendLimits: unlimited,
		backoffs: createServerBackoffs(() => 0),
		isCached: () => false,
		sendPrefillBacklog: () => undefined,
		randomFraction: () => 0,
		without: new Set(),
		...change,
	});
	fleet.sync(
		new Map(ids.map((id) => [id, knownServerOf(id, 8, change.coldUntil ?? 0)])),
		0,
	);
	return fleet;
};

const placementOf = (change: Partial<Placement> = {}): Placement => ({
	service: 'engine',
	promptTokens: 0,
	targetMs: 1000,
	excluded: new Set<string>(),
	...change,
});

const part = {id: 'part', tokens: 13_000};

const idOf = (choice: ReturnType<ReturnType<typeof setUp>['choose']>) =>
	choice.kind === 'server' ? choice.id : choice.kind;

test('requests with the same shared part go to the same server', () => {
	const fleet = setUp(['a', 'b', 'c']);
	const placement = placementOf({
		sharedPart: part,
		promptTokens: 17_000,
		targetMs: 1000,
	});
	const first = idOf(fleet.choose(placement, 0));
	for (let index = 0; index < 3; index += 1) {
		const attempt = fleet.begin(first, placement, 0);
		attempt.recordFirstEvent(1);
		assert.equal(idOf(fleet.choose(placement, 1)), first);
	}
});

test('a silent server is probed, and becomes suspect if it does not answer', () => {
	const fleet = setUp(['a']);
	fleet.begin('a', placementOf(), 0);
	assert.deepEqual(fleet.tick(silenceThresholdMs), []);
	assert.deepEqual(fleet.dueProbes(silenceThresholdMs), []);
	const probedAt = silenceThresholdMs + 1;
	assert.deepEqual(fleet.tick(probedAt), []);
	assert.deepEqual(fleet.dueProbes(probedAt), ['a']);
	assert.equal(idOf(fleet.choose(placementOf(), probedAt)), 'a');
	assert.deepEqual(fleet.tick(probedAt + probeAnswerDeadlineMs - 1), []);
	const suspectAt = probedAt + probeAnswerDeadlineMs;
	assert.deepEqual(fleet.tick(suspectAt), [
		{
			kind: 'silent',
			id: 'a',
			silentMs: suspectAt,
			unansweredProbeMs: probeAnswerDeadlineMs,
			inFlight: 1,
			pending: 1,
		},
	]);
	assert.equal(idOf(fleet.choose(placementOf(), suspectAt)), 'full');
	const probeAt = suspectAt + probeIntervalMs;
	assert.deepEqual(fleet.dueProbes(probeAt - 1), []);
	assert.deepEqual(fleet.dueProbes(probeAt), ['a']);
	fleet.recordProbeResult('a', undefined, probeAt);
	assert.equal(fleet.suspicionOf('a'), 'silent');
	fleet.recordProbeResult('a', 0, probeAt + 1);
	assert.equal(fleet.suspicionOf('a'), undefined);
});

test('a silent server that answers probes stays in use until the maximum silence', () => {
	const fleet = setUp(['a']);
	fleet.begin('a', placementOf(), 0);
	for (let now = 0; now <= maximumSilenceMs; now += 100) {
		assert.deepEqual(fleet.tick(now), []);
		for (const id of fleet.dueProbes(now)) {
			fleet.recordProbeAnswer(id, now + 10);
		}
	}

	assert.equal(idOf(fleet.choose(placementOf(), maximumSilenceMs)), 'a');
	assert.deepEqual(
		fleet.tick(maximumSilenceMs + 1).map(({id}) => id),
		['a'],
	);
});

test('a server that answers other requests is not silent', () => {
	const fleet = setUp(['a']);
	fleet.begin('a', placementOf(), 0);
	const other = fleet.begin('a', placementOf(), 0);
	other.recordActivity(silenceThresholdMs);
	assert.deepEqual(fleet.tick(silenceThresholdMs + 100), []);
});

test('a cold server gets no more than its share per second', () => {
	const fleet = setUp(['a'], {coldUntil: 10_000});
	let sent = 0;
	while (idOf(fleet.choose(placementOf(), 0)) === 'a') {
		fleet.begin('a', placementOf(), 0).end('answered', 1);
		sent += 1;
	}

	assert.equal(sent, 3);
	assert.equal(idOf(fleet.choose(placementOf(), 2000)), 'a');
	const early = setUp(['a'], {coldUntil: 10_000, mayUseCold: () => false});
	assert.equal(idOf(early.choose(placementOf(), 0)), 'full');
});

test('a server that fails requests is used less than a healthy one', () => {
	const fleet = setUp(['a', 'b']);
	for (let index = 0; index < 20; index += 1) {
		fleet.begin('a', placementOf(), 0).end('failed', 1);
	}

	assert.equal(idOf(fleet.choose(placementOf(), 2)), 'b');
});

test('the serving nodes share the capacity of a server', () => {
	const fleet = setUp(['a'], {nodesServing: () => 4});
	let sent = 0;
	while (idOf(fleet.choose(placementOf(), 0)) === 'a') {
		fleet.begin('a', placementOf(), 0);
		sent += 1;
	}

	assert.equal(sent, 3);
});

test('a possibly cold server is treated as cold until it is probed', () => {
	const fleet = setUp(['a']);
	fleet.markPossiblyCold(['a']);
	assert.deepEqual(fleet.dueProbes(0), ['a']);
	fleet.recordProbeResult('a', 0, 1);
	assert.deepEqual(fleet.dueProbes(10_000), []);
});

test('nodes with the same knowledge choose differently among servers with similar costs', () => {
	const chosen = [0, 0.9].map((first) => {
		const draws = [first, 0.5, 0.5][Symbol.iterator]();
		const fleet = setUp(['a', 'b', 'c'], {
			randomFraction: () => draws.next().value ?? 0,
		});
		return idOf(fleet.choose(placementOf(), 0));
	});
	assert.deepEqual(chosen, ['a', 'b']);
});

test('an uncached long prompt goes to a server with less backlog, and a cached one stays longer', () => {
	const placement = placementOf({
		sharedPart: part,
		promptTokens: 17_000,
		targetMs: 1000,
	});
	const other = placementOf({promptTokens: 20_000, targetMs: 1000});
	const home = idOf(setUp(['a', 'b', 'c']).choose(placement, 0));

	const unknown = setUp(['a', 'b', 'c']);
	unknown.begin(home, other, 0);
	assert.notEqual(idOf(unknown.choose(placement, 0)), home);

	const createCached = () =>
		setUp(['a', 'b', 'c'], {isCached: (server) => server === home});
	const short = placementOf({promptTokens: 5000, targetMs: 1000});
	const cached = createCached();
	const serverCapacity = 12;
	for (let index = 1; index < serverCapacity; index += 1) {
		cached.begin(home, short, 0);
		assert.equal(idOf(cached.choose(placement, 0)), home);
	}

	cached.begin(home, short, 0);
	assert.notEqual(idOf(cached.choose(placement, 0)), home);

	const busy = createCached();
	busy.begin(home, other, 0);
	assert.equal(idOf(busy.choose(placement, 0)), home);
	const readsForSeconds = placementOf({promptTokens: 300_000, targetMs: 1000});
	busy.begin(home, readsForSeconds, 0);
	assert.notEqual(idOf(busy.choose(placement, 0)), home);
});

test('a long prompt goes to the server that last received the same part', () => {
	const placement = placementOf({
		sharedPart: part,
		promptTokens: 17_000,
		targetMs: 1000,
	});
	const fleet = setUp(['a', 'b', 'c']);
	const home = idOf(fleet.choose(placement, 0));
	fleet.begin(home, placementOf({promptTokens: 30_000, targetMs: 1000}), 0);
	const second = idOf(fleet.choose(placement, 0));
	fleet.begin(second, placement, 0).recordFirstEvent(1);
	assert.notEqual(second, home);
	assert.equal(idOf(fleet.choose(placement, 2)), second);
});

test('a node among many has more capacity for long prompts than for other prompts', () => {
	const short = placementOf();
	const long = placementOf({sharedPart: part});
	const capacityFor = (placement: Placement) => {
		const fleet = setUp(['a'], {nodesServing: () => 20});
		let count = 0;
		while (fleet.choose(placement, 0).kind === 'server') {
			fleet.begin('a', placement, 0);
			count += 1;
		}

		return count;
	};

	assert.equal(capacityFor(short), 1);
	assert.equal(capacityFor(long), 4);
});

test('the state of a server that restarts under the same id is reset', () => {
	const fleet = setUp(['a']);
	const placement = placementOf({
		sharedPart: part,
		promptTokens: 17_000,
		targetMs: 1000,
	});
	const attempts = Array.from({length: 6}, () =>
		fleet.begin('a', placement, 0),
	);
	fleet.recordConnectFailure('a', 0);
	const known = knownServerOf('a', 8);
	const restarted = fleet.sync(
		new Map([['a', {...known, server: {...known.server, startedAt: 5000}}]]),
		100,
	);
	assert.deepEqual(restarted, ['a']);
	assert.equal(fleet.suspicionOf('a'), undefined);
	assert.equal(fleet.loadOf('engine', 100).load, 0);
	// Attempts at the previous incarnation end without affecting the current one.
	for (const attempt of attempts) {
		attempt.end('failed', 200);
	}

	assert.equal(fleet.loadOf('engine', 200).load, 0);
	assert.deepEqual(
		fleet.sync(
			new Map([['a', {...known, server: {...known.server, startedAt: 5000}}]]),
			300,
		),
		[],
	);
});

test('an entry that states another software version under the same id is a new server', () => {
	const fleet = setUp([]);
	const entryOf = (softwareVersion: string) => {
		const known = knownServerOf('a', 1);
		return new Map([
			['a', {...known, server: {...known.server, softwareVersion}}],
		]);
	};

	assert.deepEqual(fleet.sync(entryOf('v1'), 0), []);
	assert.deepEqual(fleet.sync(entryOf('v1'), 10), []);
	assert.deepEqual(fleet.sync(entryOf('v2'), 20), ['a']);
	assert.equal(fleet.hasVersion('engine', 'v1'), false);
});

test('a clock jump does not make a server silent or a cold server warm', () => {
	const fleet = setUp(['a'], {coldUntil: 3000});
	while (idOf(fleet.choose(placementOf(), 100)) === 'a') {
		fleet.begin('a', placementOf(), 100);
	}

	fleet.shiftClock(5000);
	assert.deepEqual(fleet.tick(5200), []);
	assert.equal(idOf(fleet.choose(placementOf(), 5200)), 'full');
});
