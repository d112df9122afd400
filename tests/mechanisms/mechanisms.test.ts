import {test, type TestContext} from 'node:test';
import {mechanisms, parseWithout} from '../../src/mechanisms/index.ts';

test('names are read, spaces and empty ones left out', (t: TestContext) => {
	t.assert.deepStrictEqual(
		[...parseWithout(' waiting, ,silence,').unwrapOr(new Set())],
		['waiting', 'silence'],
	);
	t.assert.strictEqual(parseWithout('').unwrapOr(undefined)?.size, 0);
});

test('an unknown name is an error that lists the names', (t: TestContext) => {
	const read = parseWithout('waiting,patience');
	t.assert.ok(read.isErr);
	t.assert.match(read.error, /patience/v);
	for (const name of mechanisms) {
		t.assert.ok(read.error.includes(name));
	}
});

test('each name is listed once', (t: TestContext) => {
	t.assert.strictEqual(new Set(mechanisms).size, mechanisms.length);
});
