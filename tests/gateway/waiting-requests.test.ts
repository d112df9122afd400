import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createWaitingRequests,
	type WaitingRequest,
} from '../../src/gateway/waiting-requests.ts';

const waiterOf = (change: Partial<WaitingRequest> = {}): WaitingRequest => ({
	priority: 0,
	since: 0,
	until: 100,
	roomKey: 'engine',
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
	line.pump();
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
	line.pump();
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
	line.expire(10);
	assert.deepEqual(givenUp, ['first']);
	assert.equal(line.length(), 1);
});
