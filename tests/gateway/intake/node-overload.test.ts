// Guards against a node that holds all requests until they are late because its processor cannot carry them. Simulates the one
// thread of a node: each request takes processor time, a refusal takes little.
import {test, type TestContext} from 'node:test';
import {
	createNodeOverload,
	lateTicksBeforeRefusal,
	maximumRefusedFraction,
	overloadLagMs,
	type NodeOverload,
} from '../../../src/gateway/intake/node-overload.ts';
import {createRandom} from '../../../src/shared/index.ts';

const levels = [0, 1, 2];
const tickMs = 150;
const requestMs = 5;
const refusalMs = 0.25;
// A request that has waited longer is late.
const acceptableWaitMs = 250;

type Outcome = {
	readonly priority: number;
	readonly isAccepted: boolean;
	readonly waitMs: number;
	readonly at: number;
};

// Plays requests that arrive at a multiple of what the node can carry, until `loadEndsAt`, and then at half of it.
const play = (
	multiple: number,
	{seconds = 20, loadEndsAt = Infinity, hasControl = true} = {},
): readonly Outcome[] => {
	const random = createRandom(11);
	let now = 0;
	// The thread has work until then.
	let busyUntil = 0;
	// Work of the present tick interval.
	let busyMs = 0;
	const overload = createNodeOverload({
		lagMs: () => Math.max(0, busyUntil - now),
		utilization: () => Math.min(1, busyMs / tickMs),
		random,
		onChange: () => undefined,
	});
	const outcomes: Outcome[] = [];
	let tickAt = 0;
	while (now < seconds * 1000) {
		const load = now < loadEndsAt ? multiple : 0.5;
		now -= (Math.log(1 - random.fraction()) * requestMs) / load;
		while (tickAt <= now) {
			overload.tick();
			tickAt += tickMs;
			busyMs = Math.min(tickMs, Math.max(0, busyUntil - tickAt + tickMs));
		}

		const priority = random.below(levels.length);
		const waitMs = Math.max(0, busyUntil - now);
		const isAccepted = !hasControl || overload.admits(levels, priority);
		busyUntil = Math.max(busyUntil, now) + (isAccepted ? requestMs : refusalMs);
		outcomes.push({priority, isAccepted, waitMs, at: now});
	}

	return outcomes;
};

const steady = (outcomes: readonly Outcome[]) =>
	outcomes.filter(({at}) => at > 5000);

const goodputOf = (outcomes: readonly Outcome[]): number =>
	outcomes.filter(
		({isAccepted, waitMs}) => isAccepted && waitMs <= acceptableWaitMs,
	).length;

const refusedFractionOf = (
	outcomes: readonly Outcome[],
	priority: number,
): number => {
	const ofPriority = outcomes.filter((each) => each.priority === priority);
	return (
		ofPriority.filter(({isAccepted}) => !isAccepted).length / ofPriority.length
	);
};

for (const multiple of [0.5, 0.8]) {
	test(`a node that is offered ${multiple} of what it carries refuses nothing`, (t: TestContext) => {
		t.assert.ok(play(multiple).every(({isAccepted}) => isAccepted));
	});
}

for (const multiple of [1.5, 2, 3]) {
	test(`a node that is offered ${multiple} times what it carries serves what its processor allows in time`, (t: TestContext) => {
		const outcomes = steady(play(multiple));
		const refused = outcomes.filter(({isAccepted}) => !isAccepted).length;
		const carried = (15_000 - refused * refusalMs) / requestMs;
		const goodput = goodputOf(outcomes);
		t.assert.ok(goodput >= 0.95 * carried, `${goodput} of ${carried}`);
	});
}

test('without control nothing is in time at twice the load', (t: TestContext) => {
	const outcomes = steady(play(2, {hasControl: false}));
	t.assert.strictEqual(goodputOf(outcomes), 0);
});

test('the most urgent requests are refused last', (t: TestContext) => {
	const outcomes = steady(play(2));
	t.assert.ok(refusedFractionOf(outcomes, 2) > 0.9);
	t.assert.ok(refusedFractionOf(outcomes, 0) < 0.05);
});

test('refusals end within two seconds after the load', (t: TestContext) => {
	const outcomes = play(3, {loadEndsAt: 8000});
	const later = outcomes.filter(({at}) => at > 10_000);
	t.assert.ok(later.length > 0);
	t.assert.ok(later.every(({isAccepted}) => isAccepted));
});

const overloadWith = (lagMs: () => number): NodeOverload =>
	createNodeOverload({
		lagMs,
		utilization: () => 0,
		random: {fraction: () => 0},
		onChange: () => undefined,
	});

test('a single late turn, or a delay that is not known yet, refuses nothing', (t: TestContext) => {
	let lag = 5000;
	const overload = overloadWith(() => lag);
	overload.tick();
	t.assert.ok(overload.admits(levels, 2));
	lag = 0;
	overload.tick();
	lag = Infinity;
	for (let count = 0; count < 10; count += 1) {
		overload.tick();
	}

	t.assert.ok(overload.admits(levels, 2));
});

test('some of the most urgent requests are always accepted', (t: TestContext) => {
	const overload = overloadWith(() => overloadLagMs * 100);
	for (let count = 0; count < 100 + lateTicksBeforeRefusal; count += 1) {
		overload.tick();
	}

	t.assert.strictEqual(overload.refusedFraction(), maximumRefusedFraction);
	t.assert.ok(maximumRefusedFraction < 1);
});
