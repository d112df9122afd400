import {test, type TestContext} from 'node:test';
import {
	mechanisms,
	parseDisabledMechanisms,
} from '../../src/mechanisms/index.ts';

test('names are parsed, and spaces and empty names are ignored', (t: TestContext) => {
	t.assert.deepStrictEqual(
		[...parseDisabledMechanisms(' waiting, ,silence,').unwrapOr(new Set())],
		['waiting', 'silence'],
	);
	t.assert.strictEqual(
		parseDisabledMechanisms('').unwrapOr(undefined)?.size,
		0,
	);
});

test('an unknown name is an error that lists all valid names', (t: TestContext) => {
	const read = parseDisabledMechanisms('waiting,patience');
	t.assert.ok(read.isErr);
	t.assert.match(read.error, /patience/v);
	for (const name of mechanisms) {
		t.assert.ok(read.error.includes(name));
	}
});

test('each name is listed once', (t: TestContext) => {
	t.assert.strictEqual(new Set(mechanisms).size, mechanisms.length);
});
