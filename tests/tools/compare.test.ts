import {test, type TestContext} from 'node:test';
import {compareVariants, type Play} from '../../tools/experiment/compare.ts';

const playOf = (change: Partial<Play>): Play => ({
	site: 'site',
	day: 'day',
	seed: 'own',
	variant: 'complete',
	worth: 0.5,
	late: 0,
	refused: 0,
	failed: 0,
	readAgain: 0,
	processor: 10,
	broken: [],
	...change,
});

test('a variant is compared with the plays of the same day and seed', (t: TestContext) => {
	const rows = compareVariants(
		[
			playOf({seed: '1', worth: 0.5}),
			playOf({seed: '2', worth: 0.9}),
			playOf({seed: '1', variant: 'waiting', worth: 0.4, broken: ['LOST']}),
			playOf({seed: '2', variant: 'waiting', worth: 0.6}),
			// There is no complete play of this seed.
			playOf({seed: '3', variant: 'waiting', worth: 0}),
		],
		'complete',
	);
	t.assert.strictEqual(rows.length, 1);
	const [{pairs, worth, spread, broken}] = rows as [(typeof rows)[0]];
	t.assert.strictEqual(pairs, 2);
	t.assert.ok(Math.abs(worth - -0.2) < 1e-9);
	t.assert.ok(Math.abs(spread - 0.1) < 1e-9);
	t.assert.deepStrictEqual(broken, ['LOST']);
});
