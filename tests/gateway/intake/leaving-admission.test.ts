import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {createLeavingAdmission} from '../../../src/gateway/intake/leaving-admission.ts';
import {createRouteDurations} from '../../../src/gateway/delivery/route-durations.ts';
import {exchangeOf, routeOf} from '../fixtures.ts';

const endsAt = 1000;

const at = (receivedAt: number) =>
	exchangeOf({receivedAt, expiresAt: receivedAt + routeOf().timeoutMs});

const admissionAfter = (milliseconds: readonly number[]) => {
	const durations = createRouteDurations();
	for (const each of milliseconds) {
		durations.record(routeOf().name, each);
	}

	return createLeavingAdmission(durations);
};

test('a node that is not leaving accepts everything', (t: TestContext) => {
	t.assert.ok(admissionAfter([]).admits(at(1e9)));
});

test('without recorded durations a request is expected to take the whole timeout of its route', (t: TestContext) => {
	const admission = admissionAfter([]);
	admission.leave(0, routeOf().timeoutMs + 10);
	t.assert.ok(admission.admits(at(10)));
	t.assert.ok(!admission.admits(at(11)));
});

test('while callers are directed here, requests are expected to take as long as earlier ones', (t: TestContext) => {
	const admission = admissionAfter([
		...Array.from({length: 97}, () => 200),
		3000,
		3000,
		3000,
	]);
	admission.leave(0, endsAt);
	t.assert.ok(admission.admits(at(endsAt - 200)));
	t.assert.ok(!admission.admits(at(endsAt - 199)));
});

test('later a request is accepted only if its whole time limit fits', (t: TestContext) => {
	const admission = admissionAfter(Array.from({length: 97}, () => 200));
	admission.leave(0, 8000);
	t.assert.ok(admission.admits(at(4000)));
	t.assert.ok(!admission.admits(at(4001)));
});

test('for any recorded durations, an earlier request is accepted whenever a later one is', (t: TestContext) => {
	fc.assert(
		fc.property(
			fc.array(fc.nat(5000), {maxLength: 200}),
			fc.nat(10_000),
			fc.nat(2000),
			fc.nat(2000),
			(durations, end, first, second) => {
				const admission = admissionAfter(durations);
				admission.leave(0, end);
				if (admission.admits(at(Math.max(first, second)))) {
					t.assert.ok(admission.admits(at(Math.min(first, second))));
				}
			},
		),
	);
});

test('a leaving node accepts a stream by the durations of streams of similar length', (t: TestContext) => {
	const durations = createRouteDurations();
	for (let index = 0; index < 50; index += 1) {
		durations.record(routeOf().name, 200, 100);
	}

	for (let index = 0; index < 10; index += 1) {
		durations.record(routeOf().name, 3000, 800);
	}

	const admission = createLeavingAdmission(durations);
	admission.leave(0, endsAt);
	const streamOf = (expectedTokensOut: number) => ({
		...at(0),
		prompt: {parts: [], tokensIn: 100, tokensOut: 900, expectedTokensOut},
	});
	t.assert.ok(admission.admits(streamOf(100)));
	t.assert.ok(!admission.admits(streamOf(800)));
});
