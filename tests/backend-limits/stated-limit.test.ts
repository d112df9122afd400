import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {parseStatedLimit} from '../../src/backend-limits/index.ts';

for (const [text, perSecond] of [
	['6.2', 6.2],
	[' 40 ', 40],
	['0', 0],
	['0.05', 0.05],
] as const) {
	test(`"${text}" is parsed as a limit`, (t: TestContext) => {
		t.assert.strictEqual(parseStatedLimit(text).unwrapOr(-1), perSecond);
	});
}

for (const text of [
	'',
	'-1',
	'+3',
	'6,2',
	'.5',
	'1e3',
	'0x10',
	'Infinity',
	'NaN',
	'6.2 a second',
	'9999999999',
]) {
	test(`"${text}" is rejected as a limit`, (t: TestContext) => {
		t.assert.ok(parseStatedLimit(text).isErr);
	});
}

test('any text is parsed to a rate or rejected with an error', (t: TestContext) => {
	fc.assert(
		fc.property(fc.string(), (text) => {
			const limit = parseStatedLimit(text);
			t.assert.ok(
				limit.isErr || (Number.isFinite(limit.value) && limit.value >= 0),
			);
		}),
	);
});
