import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createWaitingRequests,
	type WaitingRequest,
} from '../../../src/gateway/delivery/waiting-requests.ts';

const waiterOf = (change: Partial<WaitingRequest> = {}): WaitingRequest => ({
	priority: 0,
	since: 0,
	lateAt: 1000,
	until: 100,
	service: 'engine',
	roomKey: 'engine',
	roomInMs: () => 0,
	attempt: () => true,
	giveUp: () => undefined,
	...change,
});

test('one try for each kind of request shows that there is no room', () => {
	const line = createWaitingRequests();
	const tried: string[] = [];
	const add = (roomKey: string, hasRoom: boolean) => {
		line.add(
			waiterOf({
				roomKey,
				attempt() {
					tried.push(roomKey);
					return hasRoom;
				},
			}),
		);
	};

	add('engine', false);
	add('engine', false);
	add('plain', true);
	add('engine', false);
	line.pump(0);
	assert.deepEqual(tried, ['engine', 'plain']);
	assert.equal(line.length(), 3);
});

test('the most urgent goes first, and of equals the one that came first', () => {
	const line = createWaitingRequests();
	const sent: string[] = [];
	const add = (name: string, priority: number, since: number) => {
		line.add(
			waiterOf({
				priority,
				since,
				attempt() {
					sent.push(name);
					return true;
				},
			}),
		);
	};

	add('late', 1, 5);
	add('later', 1, 6);
	add('urgent', 0, 9);
	line.pump(0);
	assert.deepEqual(sent, ['urgent', 'late', 'later']);
	assert.equal(line.length(), 0);
});

test('a request that waited for as long as it may is given up', () => {
	const line = createWaitingRequests();
	const givenUp: string[] = [];
	const add = (name: string, until: number) => {
		line.add(
			waiterOf({
				until,
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
	const line = createWaitingRequests();
	const sent: string[] = [];
	const add = (name: string, lateAt: number, priority = 0) => {
		line.add(
			waiterOf({
				lateAt,
				priority,
				attempt() {
					sent.push(name);
					return true;
				},
			}),
		);
	};

	add('late', 5);
	add('in time', 50);
	add('less urgent', 50, 1);
	line.pump(10);
	assert.deepEqual(sent, ['in time', 'late', 'less urgent']);
});

test('who will not get room is given up, and those behind move up', () => {
	const line = createWaitingRequests();
	const judged: Array<readonly [string, number]> = [];
	for (const roomKey of ['a', 'b', 'c']) {
		line.add(waiterOf({roomKey}));
	}

	line.expire(0, ({roomKey}, before) => {
		judged.push([roomKey, before]);
		return roomKey === 'b';
	});
	assert.deepEqual(judged, [
		['a', 0],
		['b', 1],
		['c', 1],
	]);
	assert.equal(line.length(), 2);
	assert.equal(line.before('engine', 0), 2);
	assert.equal(line.before('other', 0), 0);
});
