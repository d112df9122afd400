import {test, type TestContext} from 'node:test';
import {createDerived} from '../../src/shared/index.ts';

test('a view is derived once for each source', (t: TestContext) => {
	let source: readonly number[] = [1, 2];
	let derived = 0;
	const sum = createDerived(
		() => source,
		(numbers) => {
			derived += 1;
			return numbers.length;
		},
	);
	t.assert.strictEqual(derived, 0);
	t.assert.deepStrictEqual([sum(), sum()], [2, 2]);
	t.assert.strictEqual(derived, 1);
	source = [...source, 3];
	t.assert.strictEqual(sum(), 3);
	t.assert.strictEqual(derived, 2);
});
