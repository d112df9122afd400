import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {
	createAnswerBuffer,
	maximumAnswerBytes,
	maximumBufferedBytes,
} from '../../../src/gateway/delivery/answer-buffer.ts';

test('a response that is too long ends', (t: TestContext) => {
	const buffer = createAnswerBuffer();
	const ended: string[] = [];
	const answer = buffer.keep((reason) => {
		ended.push(reason);
	});
	answer.add(maximumAnswerBytes);
	t.assert.strictEqual(ended.length, 0);
	answer.add(1);
	t.assert.strictEqual(ended.length, 1);
	t.assert.strictEqual(buffer.bytes(), 0);
});

// Guards against short responses that are lost because of long ones, and against long ones that together exceed the memory of a node.
test('the longest response ends when all together are too long', (t: TestContext) => {
	const buffer = createAnswerBuffer();
	const ended: string[] = [];
	const keep = (name: string) =>
		buffer.keep(() => {
			ended.push(name);
		});
	const [short, long, longer] = [keep('short'), keep('long'), keep('longer')];
	short.add(1000);
	long.add(maximumAnswerBytes - 1000);
	longer.add(maximumAnswerBytes);
	t.assert.deepStrictEqual(ended, []);
	short.add(1);
	t.assert.deepStrictEqual(ended, ['longer']);
	t.assert.strictEqual(buffer.bytes(), maximumAnswerBytes + 1);
});

test('whatever responses arrive and end, never more than the maximum is kept, and all of it is released', (t: TestContext) => {
	const step = fc.record({
		index: fc.nat(9),
		bytes: fc.nat(maximumAnswerBytes / 2),
		isLast: fc.boolean(),
	});
	fc.assert(
		fc.property(fc.array(step, {maxLength: 60}), (steps) => {
			const buffer = createAnswerBuffer();
			const answers = Array.from({length: 10}, () =>
				buffer.keep(() => undefined),
			);
			for (const {index, bytes, isLast} of steps) {
				answers[index]!.add(bytes);
				t.assert.ok(buffer.bytes() <= maximumBufferedBytes);
				if (isLast) {
					answers[index]!.release();
				}
			}

			for (const answer of answers) {
				answer.release();
			}

			t.assert.strictEqual(buffer.bytes(), 0);
		}),
	);
});
