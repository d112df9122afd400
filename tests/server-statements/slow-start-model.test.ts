import {test, type TestContext} from 'node:test';
import {simulateReturn, slots} from './slow-start-model.ts';

for (const nodes of [2, 9, 24]) {
	test(`${nodes} nodes resume with fewer simultaneous requests than the server has slots, and use it up within 1.5 s`, (t: TestContext) => {
		for (let seed = 1; seed <= 10; seed += 1) {
			const {most, usedAfterMs} = simulateReturn(
				'spread and doubled',
				nodes,
				seed,
			);
			t.assert.ok(most < slots, `seed ${seed}: ${most} within 50 ms`);
			t.assert.ok(usedAfterMs <= 1500, `seed ${seed}: after ${usedAfterMs} ms`);
		}
	});
}

test('the check detects nodes that resume all at once', (t: TestContext) => {
	t.assert.ok(simulateReturn('at once', 9, 1).most >= slots);
});
