import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {createEventScanner} from '../../src/response-bodies/index.ts';

const lineEnds = fc.constantFrom('\n', '\r\n', '\r');
const line = fc.constantFrom('data: x', 'id: 7', 'data', ':', ': note', '');
const streams = fc
	.array(fc.tuple(line, lineEnds), {maxLength: 24})
	.map((lines) => lines.flat().join(''));

// The definition of a boundary: whole lines only, and none but comments since the last empty one.
const isInsideEvent = (text: string): boolean => {
	const lines = text.split(/\r\n|[\n\r]/v);
	const unfinished = lines.pop();
	const open = lines
		.slice(lines.lastIndexOf('') + 1)
		.filter((each) => !each.startsWith(':'));
	return unfinished !== '' || open.length > 0;
};

test('a stream that is cut at any byte, and arrives in any chunks, is known to end inside or outside an event', () => {
	fc.assert(
		fc.property(streams, fc.integer({min: 1, max: 9}), (text, size) => {
			const bytes = Buffer.from(text);
			for (let cut = 0; cut <= bytes.length; cut += 1) {
				const scanner = createEventScanner();
				for (let start = 0; start < cut; start += size) {
					scanner.scan(bytes.subarray(start, Math.min(cut, start + size)));
				}

				assert.equal(
					scanner.isInsideEvent(),
					isInsideEvent(text.slice(0, cut)),
					JSON.stringify(text.slice(0, cut)),
				);
			}
		}),
		{numRuns: 500},
	);
});

test('a line feed that arrives after its carriage return ends no second line', () => {
	const scanner = createEventScanner();
	scanner.scan(Buffer.from('data: x\r'));
	scanner.scan(Buffer.from('\n'));
	assert.deepEqual(
		[scanner.isInsideEvent(), scanner.hasEvent()],
		[true, false],
	);
	scanner.scan(Buffer.from('\r'));
	assert.deepEqual(
		[scanner.isInsideEvent(), scanner.hasEvent()],
		[false, true],
	);
	scanner.scan(Buffer.from('\n'));
	assert.equal(scanner.isInsideEvent(), false);
});

test('comments and empty lines are no events', () => {
	const scanner = createEventScanner();
	scanner.scan(Buffer.from(': note\n\n\r\n'));
	assert.equal(scanner.hasEvent(), false);
});
