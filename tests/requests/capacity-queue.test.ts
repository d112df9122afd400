import assert from 'node:assert/strict';
import {getEventListeners} from 'node:events';
import {test} from 'node:test';
import {createCapacityQueue} from '../../src/requests/index.ts';
import {exampleConfiguration, requestFor} from '../fixtures.ts';

const setUp = () => {
	const caller = new AbortController();
	const queue = createCapacityQueue({
		clock: () => 0,
		maximumWaiting: 1,
		maximumWaitMs: 1000,
	});
	const request = requestFor(exampleConfiguration(), {
		signal: caller.signal,
		deadline: 500,
	});
	return {queue, request, caller};
};

test('a request that has stopped waiting no longer listens for the end of its caller', async () => {
	const {queue, request, caller} = setUp();
	const waiting = queue.wait(request);
	assert.equal(getEventListeners(caller.signal, 'abort').length, 1);
	queue.notify();
	assert.equal(await waiting, 'ready');
	assert.equal(getEventListeners(caller.signal, 'abort').length, 0);
});

// Guards against requests that a leaving node cuts off while they wait for a slot.
test('a closed queue ends the waits of present and later requests', async () => {
	const {queue, request} = setUp();
	const waiting = queue.wait(request);
	queue.close();
	assert.equal(await waiting, 'closed');
	assert.equal(await queue.wait(request), 'closed');
	assert.equal(queue.length(), 0);
});

test('a request whose caller leaves stops waiting', async () => {
	const {queue, request, caller} = setUp();
	const waiting = queue.wait(request);
	caller.abort();
	assert.equal(await waiting, 'expired');
	assert.equal(queue.length(), 0);
});
