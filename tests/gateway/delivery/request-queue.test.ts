import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	judgeQueued,
	queueRefusals,
} from '../../../src/gateway/delivery/judge-queued.ts';
import {
	createRequestQueue,
	type QueuedRequest,
} from '../../../src/gateway/delivery/request-queue.ts';

const queuedRequestOf = (
	change: Partial<QueuedRequest> = {},
): QueuedRequest => ({
	priority: 0,
	queuedAt: 0,
	targetAt: 1000,
	expiresAt: 100,
	expectedMs: 10,
	origin: undefined,
	service: 'engine',
	placementKey: 'engine',
	capacityWaitMs: () => 0,
	isWaitPredictable: () => true,
	trySend: () => true,
	refuse: () => undefined,
	...change,
});

test('requests with the same key are tried only until one finds no capacity', () => {
	const queue = createRequestQueue();
	const tried: string[] = [];
	const add = (placementKey: string, hasRoom: boolean) => {
		queue.add(
			queuedRequestOf({
				placementKey,
				trySend() {
					tried.push(placementKey);
					return hasRoom;
				},
			}),
		);
	};

	add('engine', false);
	add('engine', false);
	add('plain', true);
	add('engine', false);
	queue.dispatch(0);
	assert.deepEqual(tried, ['engine', 'plain']);
	assert.equal(queue.length(), 3);
});

test('the most urgent request goes first, and among equals the one that was queued first', () => {
	const queue = createRequestQueue();
	const sent: string[] = [];
	const add = (name: string, priority: number, queuedAt: number) => {
		queue.add(
			queuedRequestOf({
				priority,
				queuedAt,
				trySend() {
					sent.push(name);
					return true;
				},
			}),
		);
	};

	add('late', 1, 5);
	add('later', 1, 6);
	add('urgent', 0, 9);
	queue.dispatch(0);
	assert.deepEqual(sent, ['urgent', 'late', 'later']);
	assert.equal(queue.length(), 0);
});

test('a request that has reached its maximum wait is refused', () => {
	const queue = createRequestQueue();
	const refused: string[] = [];
	const add = (name: string, expiresAt: number) => {
		queue.add(
			queuedRequestOf({
				expiresAt,
				refuse() {
					refused.push(name);
				},
			}),
		);
	};

	add('first', 10);
	add('second', 20);
	queue.expire(10, (request, ahead) =>
		judgeQueued(request, ahead, {
			now: 10,
			exitsAt: Infinity,
			isNodeLeaving: () => false,
			isAwaitingSilentServers: () => false,
		}),
	);
	assert.deepEqual(refused, ['first']);
	assert.equal(queue.length(), 1);
});

test('among equally urgent requests, those that are already late go last', () => {
	const queue = createRequestQueue();
	const sent: string[] = [];
	const add = (name: string, targetAt: number, priority = 0) => {
		queue.add(
			queuedRequestOf({
				targetAt,
				priority,
				trySend() {
					sent.push(name);
					return true;
				},
			}),
		);
	};

	add('late', 5);
	add('in time', 50);
	add('less urgent', 50, 1);
	queue.dispatch(10);
	assert.deepEqual(sent, ['in time', 'late', 'less urgent']);
});

test('a request that will not get capacity in time is refused, and those behind it move up', () => {
	const queue = createRequestQueue();
	const evaluated: Array<readonly [string, number]> = [];
	for (const placementKey of ['a', 'b', 'c']) {
		queue.add(queuedRequestOf({placementKey}));
	}

	queue.expire(0, ({placementKey}, ahead) => {
		evaluated.push([placementKey, ahead]);
		return placementKey === 'b' ? queueRefusals.noCapacity : undefined;
	});
	assert.deepEqual(evaluated, [
		['a', 0],
		['b', 1],
		['c', 1],
	]);
	assert.equal(queue.length(), 2);
	assert.equal(queue.countAhead('engine', 0), 2);
	assert.equal(queue.countAhead('other', 0), 0);
});

test('a request whose dispatch throws does not stop the queue', () => {
	const queue = createRequestQueue();
	let isBroken = true;
	queue.add(
		queuedRequestOf({
			trySend() {
				if (isBroken) {
					throw new Error('no route to the server');
				}

				return true;
			},
		}),
	);
	assert.throws(() => {
		queue.dispatch(0);
	}, /no route to the server/v);
	isBroken = false;
	queue.dispatch(0);
	assert.equal(queue.length(), 0);
});
