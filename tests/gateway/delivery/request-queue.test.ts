import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createRequestQueue,
	type QueuedRequest,
} from '../../../src/gateway/delivery/request-queue.ts';

const waiterOf = (change: Partial<QueuedRequest> = {}): QueuedRequest => ({
	priority: 0,
	queuedAt: 0,
	targetAt: 1000,
	expiresAt: 100,
	service: 'engine',
	placementKey: 'engine',
	capacityWaitMs: () => 0,
	trySend: () => true,
	giveUp: () => undefined,
	...change,
});

test('one try for each kind of request shows that there is no room', () => {
	const line = createRequestQueue();
	const tried: string[] = [];
	const add = (placementKey: string, hasRoom: boolean) => {
		line.add(
			waiterOf({
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
	line.dispatch(0);
	assert.deepEqual(tried, ['engine', 'plain']);
	assert.equal(line.length(), 3);
});

test('the most urgent goes first, and of equals the one that came first', () => {
	const line = createRequestQueue();
	const sent: string[] = [];
	const add = (name: string, priority: number, queuedAt: number) => {
		line.add(
			waiterOf({
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
	line.dispatch(0);
	assert.deepEqual(sent, ['urgent', 'late', 'later']);
	assert.equal(line.length(), 0);
});

test('a request that waited for as long as it may is given up', () => {
	const line = createRequestQueue();
	const givenUp: string[] = [];
	const add = (name: string, expiresAt: number) => {
		line.add(
			waiterOf({
				expiresAt,
				giveUp() {
					givenUp.push(name);
				},
			}),
		);
	};

	add('first', 10);
	add('second', 20);
	line.expire(10, () => false);
	assert.deepEqual(givenUp, ['first']);
	assert.equal(line.length(), 1);
});

test('of equally urgent ones those that are late already stand back', () => {
	const line = createRequestQueue();
	const sent: string[] = [];
	const add = (name: string, targetAt: number, priority = 0) => {
		line.add(
			waiterOf({
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
	line.dispatch(10);
	assert.deepEqual(sent, ['in time', 'late', 'less urgent']);
});

test('who will not get room is given up, and those behind move up', () => {
	const line = createRequestQueue();
	const judged: Array<readonly [string, number]> = [];
	for (const placementKey of ['a', 'b', 'c']) {
		line.add(waiterOf({placementKey}));
	}

	line.expire(0, ({placementKey}, before) => {
		judged.push([placementKey, before]);
		return placementKey === 'b';
	});
	assert.deepEqual(judged, [
		['a', 0],
		['b', 1],
		['c', 1],
	]);
	assert.equal(line.length(), 2);
	assert.equal(line.countAhead('engine', 0), 2);
	assert.equal(line.countAhead('other', 0), 0);
});
