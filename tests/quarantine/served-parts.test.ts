import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createServedParts,
	maximumWaitingParts,
	waitPerNodeMs,
} from '../../src/quarantine/index.ts';

const create = () => createServedParts({fraction: () => 0.5});

test('a part is told after a wait that grows with the number of nodes, unless another node tells of it first', () => {
	const served = create();
	served.add('a', 100, 0);
	served.add('b', 100, 0);
	const dueAt = 50 * waitPerNodeMs;
	assert.deepEqual(served.takeDue(dueAt - 1), []);
	served.forget('b');
	assert.deepEqual(served.takeDue(dueAt), ['a']);
	assert.deepEqual(served.takeDue(dueAt), []);
});

test('the number of parts that wait is bounded', () => {
	const served = create();
	for (let index = 0; index < 2 * maximumWaitingParts; index += 1) {
		served.add(`part ${index}`, 1, 0);
	}

	assert.equal(served.takeDue(1000).length, maximumWaitingParts);
});
