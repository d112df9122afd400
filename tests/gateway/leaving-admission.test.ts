import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import type {DeliveryRecord} from '../../src/gateway/exchange.ts';
import {createLeavingAdmission} from '../../src/gateway/leaving-admission.ts';
import {exchangeOf, routeOf} from './fixtures.ts';

const endsAt = 1000;

const recordOf = (
	totalMs: number,
	change: Partial<DeliveryRecord> = {},
): DeliveryRecord => ({
	exchange: exchangeOf(),
	result: 'answered',
	status: 200,
	outcome: 'ran',
	reason: '',
	steps: [],
	firstByteMs: 1,
	totalMs,
	waitedMs: 0,
	longestPauseMs: 0,
	...change,
});

const at = (receivedAt: number) =>
	exchangeOf({receivedAt, expiresAt: receivedAt + routeOf().timeoutMs});

const admissionAfter = (durations: readonly number[]) => {
	const admission = createLeavingAdmission();
	for (const duration of durations) {
		admission.note(recordOf(duration));
	}

	return admission;
};

test('a node that stays takes everything', (t: TestContext) => {
	t.assert.ok(createLeavingAdmission().mayTake(at(1e9)));
});

test('a route of which nothing is known is taken for its whole time', (t: TestContext) => {
	const admission = createLeavingAdmission();
	admission.leave(0, routeOf().timeoutMs + 10);
	t.assert.ok(admission.mayTake(at(10)));
	t.assert.ok(!admission.mayTake(at(11)));
});

test('while callers are led here, requests are taken for as long as those before them needed', (t: TestContext) => {
	const admission = admissionAfter([
		...Array.from({length: 97}, () => 200),
		3000,
		3000,
		3000,
	]);
	admission.leave(0, endsAt);
	t.assert.ok(admission.mayTake(at(endsAt - 200)));
	t.assert.ok(!admission.mayTake(at(endsAt - 199)));
});

test('later a request is taken only where its whole time fits in', (t: TestContext) => {
	const admission = admissionAfter(Array.from({length: 97}, () => 200));
	admission.leave(0, 8000);
	t.assert.ok(admission.mayTake(at(4000)));
	t.assert.ok(!admission.mayTake(at(4001)));
});

test('requests that failed say nothing of the time that one needs', (t: TestContext) => {
	const admission = createLeavingAdmission();
	for (let index = 0; index < 100; index += 1) {
		admission.note(recordOf(1, {result: 'refused'}));
	}

	admission.leave(0, endsAt);
	t.assert.ok(!admission.mayTake(at(endsAt - 200)));
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
				if (admission.mayTake(at(Math.max(first, second)))) {
					t.assert.ok(admission.mayTake(at(Math.min(first, second))));
				}
			},
		),
	);
});
