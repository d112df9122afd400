import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {
	judgeQueued,
	type QueueConditions,
	type QueueRefusal,
} from '../../../src/gateway/delivery/judge-queued.ts';
import type {QueuedRequest} from '../../../src/gateway/delivery/request-queue.ts';

type Case = {
	readonly name: string;
	readonly request?: Partial<QueuedRequest>;
	readonly conditions?: Partial<QueueConditions>;
	readonly expected: QueueRefusal | undefined;
};

const requestOf = (change: Partial<QueuedRequest> = {}): QueuedRequest => ({
	priority: 0,
	queuedAt: 0,
	targetAt: 400,
	expiresAt: 3000,
	expectedMs: 1000,
	origin: undefined,
	service: 'engine',
	placementKey: 'engine',
	capacityWaitMs: (ahead) => (ahead + 1) * 100,
	isWaitPredictable: () => true,
	trySend: () => false,
	refuse: () => undefined,
	...change,
});

const conditionsOf = (
	change: Partial<QueueConditions> = {},
): QueueConditions => ({
	now: 0,
	exitsAt: Infinity,
	isNodeLeaving: () => false,
	isAwaitingSilentServers: () => false,
	...change,
});

// Guards against requests that a leaving node neither sends, hands back nor refuses before it exits.
const cases: readonly Case[] = [
	{name: 'a request with time left waits', expected: undefined},
	{
		name: 'a request that has reached its latest start is refused',
		conditions: {now: 3000},
		expected: 'no-capacity',
	},
	{
		name: 'a request is refused once its predicted wait exceeds twice its time',
		request: {capacityWaitMs: () => 6001},
		expected: 'no-capacity',
	},
	{
		name: 'a request for silent servers waits whatever is predicted',
		request: {capacityWaitMs: () => Infinity},
		conditions: {isAwaitingSilentServers: () => true},
		expected: undefined,
	},
	{
		name: 'a leaving node keeps a request that will be answered before it exits',
		conditions: {exitsAt: 1100},
		expected: undefined,
	},
	{
		name: 'a leaving node hands back a request that would be answered after it exits',
		conditions: {exitsAt: 1099},
		expected: 'node-leaves',
	},
	{
		name: 'a leaving node hands back a request whose wait is only assumed',
		request: {isWaitPredictable: () => false},
		conditions: {exitsAt: 3000},
		expected: 'node-leaves',
	},
	{
		name: 'a leaving node that has no time left hands back requests for silent servers too',
		conditions: {exitsAt: 1000, isAwaitingSilentServers: () => true},
		expected: 'node-leaves',
	},
	{
		name: 'a request that ends before a leaving node exits waits as at any other node',
		request: {isWaitPredictable: () => false},
		conditions: {exitsAt: 4000},
		expected: undefined,
	},
	{
		name: 'a request is handed back to a node that is leaving',
		request: {origin: 'node-2'},
		conditions: {isNodeLeaving: (node) => node === 'node-2'},
		expected: 'origin-leaves',
	},
	{
		name: 'a request of a node that stays waits while another one leaves',
		request: {origin: 'node-2'},
		conditions: {isNodeLeaving: (node) => node === 'node-3'},
		expected: undefined,
	},
];

for (const {name, request, conditions, expected} of cases) {
	test(name, (t: TestContext) => {
		t.assert.strictEqual(
			judgeQueued(requestOf(request), 0, conditionsOf(conditions)),
			expected,
		);
	});
}

test('no request stays queued at a leaving node beyond the latest start that lets it end in time', (t: TestContext) => {
	fc.assert(
		fc.property(
			fc.nat(5000),
			fc.nat(8000),
			fc.nat(4000),
			fc.nat(50),
			fc.boolean(),
			(now, exitsAt, expectedMs, ahead, isPredictable) => {
				const request = requestOf({
					expiresAt: Infinity,
					expectedMs,
					isWaitPredictable: () => isPredictable,
				});
				const refusal = judgeQueued(
					request,
					ahead,
					conditionsOf({now, exitsAt}),
				);
				t.assert.ok(refusal !== undefined || now + expectedMs < exitsAt);
			},
		),
	);
});
