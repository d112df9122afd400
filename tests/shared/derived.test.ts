import {test, type TestContext} from 'node:test';
import {createDerived} from '../../src/shared/index.ts';

test('a view is derived once per source object', (t: TestContext) => {
	let source: readonly number[] = [1, 2];
	let derivations = 0;
	const sum = createDerived(
		() => source,
		(numbers) => {
			derivations += 1;
			return numbers.length;
		},
	);
	t.assert.strictEqual(derivations, 0);
	t.assert.deepStrictEqual([sum(), sum()], [2, 2]);
	t.assert.strictEqual(derivations, 1);
	source = [...source, 3];
	t.assert.strictEqual(sum(), 3);
	t.assert.strictEqual(derivations, 2);
});
