import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {parseStatedLoad} from '../../src/backends/index.ts';

test('three counts are parsed', (t: TestContext) => {
	t.assert.deepStrictEqual(parseStatedLoad('12, 3,64').unwrapOr(undefined), {
		running: 12,
		waiting: 3,
		slots: 64,
	});
});

test('a fourth number is the slowdown in percent', (t: TestContext) => {
	t.assert.deepStrictEqual(parseStatedLoad('12,3,64,250').unwrapOr(undefined), {
		running: 12,
		waiting: 3,
		slots: 64,
		slowdown: 2.5,
	});
});

for (const text of [
	'',
	'1',
	'1,2',
	'1,2,3,4,5',
	'1,2,3,0',
	'1,2,3,-1',
	'1,2,3,10001',
	'1,2,3,',
	'1,2,3,1.5',
	'1,,3',
	'-1,0,3',
	'1,0,-3',
	'1.5,0,3',
	'1e2,0,300',
	'0x1,0,3',
	'many,0,3',
	'1,99999999999999999999,3',
	// More requests running than slots.
	'4,0,3',
]) {
	test(`"${text}" is rejected as a load`, (t: TestContext) => {
		t.assert.ok(parseStatedLoad(text).isErr);
	});
}

test('any text is parsed to counts or rejected with an error', (t: TestContext) => {
	fc.assert(
		fc.property(fc.string(), (text) => {
			const load = parseStatedLoad(text);
			t.assert.ok(
				load.isErr ||
					Object.values({...load.value, slowdown: 1}).every((count) =>
						Number.isSafeInteger(count),
					),
			);
		}),
	);
});
