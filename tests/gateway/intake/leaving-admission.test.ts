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

test('a node that stays takes everything', (t: TestContext) => {
	t.assert.ok(admissionAfter([]).admits(at(1e9)));
});

test('a route of which nothing is known is taken for its whole time', (t: TestContext) => {
	const admission = admissionAfter([]);
	admission.leave(0, routeOf().timeoutMs + 10);
	t.assert.ok(admission.admits(at(10)));
	t.assert.ok(!admission.admits(at(11)));
});

test('while callers are led here, requests are taken for as long as those before them needed', (t: TestContext) => {
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

test('later a request is taken only where its whole time fits in', (t: TestContext) => {
	const admission = admissionAfter(Array.from({length: 97}, () => 200));
	admission.leave(0, 8000);
	t.assert.ok(admission.admits(at(4000)));
	t.assert.ok(!admission.admits(at(4001)));
});

test('whatever was seen, a request that comes later is not taken sooner', (t: TestContext) => {
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
