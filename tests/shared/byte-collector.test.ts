import {Buffer} from 'node:buffer';
import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {createByteCollector} from '../../src/shared/index.ts';

test('any parts are joined in order', (t: TestContext) => {
	fc.assert(
		fc.property(
			fc.array(fc.uint8Array({maxLength: 20})),
			fc.nat(60),
			(parts, expectedBytes) => {
				const collector = createByteCollector(expectedBytes);
				for (const part of parts) {
					collector.add(part);
				}

				const expected = Buffer.concat(parts);
				t.assert.strictEqual(collector.size(), expected.length);
				t.assert.deepStrictEqual(collector.bytes(), expected);
			},
		),
	);
});

test('a cleared collector is empty', (t: TestContext) => {
	const collector = createByteCollector();
	collector.add(Buffer.from('a'));
	collector.add(Buffer.from('b'));
	collector.clear();
	t.assert.strictEqual(collector.bytes().length, 0);
});
