import {Buffer} from 'node:buffer';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	createEventStreamReader,
	type EventStreamReader,
} from '../../src/requests/index.ts';

const eventOf = (attempt: string, index: number | 'end', data: string) =>
	`id: ${attempt}:${index}\ndata: ${data}\n\n`;

const streamOf = (attempt: string, from: number, until: number) =>
	Array.from({length: until - from}, (_, offset) =>
		eventOf(attempt, from + offset, `"ü${from + offset}"`),
	).join('') + eventOf(attempt, 'end', '[DONE]');

const read = (
	reader: EventStreamReader,
	bytes: Buffer,
	cuts: readonly number[],
) => {
	let text = '';
	let start = 0;
	for (const cut of [
		...cuts.toSorted((left, right) => left - right),
		bytes.length,
	]) {
		const piece = reader.push(bytes.subarray(start, Math.max(start, cut)));
		start = Math.max(start, cut);
		if (piece.kind === 'fault') {
			return {text, fault: piece.message};
		}

		text += piece.text;
	}

	return {text, fault: undefined};
};

test('the reader returns the same events for any split into chunks', () => {
	const bytes = Buffer.from(streamOf('a', 0, 6));
	fc.assert(
		fc.property(
			fc.array(fc.integer({min: 0, max: bytes.length}), {maxLength: 20}),
			(cuts) => {
				const reader = createEventStreamReader('a', 0);
				const {text, fault} = read(reader, bytes, cuts);
				assert.equal(fault, undefined);
				assert.equal(
					text,
					`${[0, 1, 2, 3, 4, 5].map((index) => `data: "ü${index}"\n\n`).join('')}data: [DONE]\n\n`,
				);
				assert.ok(reader.hasEnded());
				assert.equal(reader.delivered(), 6);
			},
		),
		{numRuns: 1000},
	);
});

test('a stream that breaks at any byte and is resumed delivers each token exactly once', () => {
	fc.assert(
		fc.property(
			fc.array(fc.integer({min: 0, max: 400}), {maxLength: 5}),
			fc.integer({min: 0, max: 3}),
			(breaks, overlap) => {
				let delivered = 0;
				let text = '';
				for (const [attempt, length] of [...breaks, 100_000].entries()) {
					const name = `attempt-${attempt}`;
					// An engine may resume some tokens too early; the reader drops the duplicates.
					const from = Math.max(0, delivered - overlap);
					const reader = createEventStreamReader(name, delivered);
					text += read(
						reader,
						Buffer.from(streamOf(name, from, 10)).subarray(0, length),
						[],
					).text;
					delivered = reader.delivered();
					if (reader.hasEnded()) {
						break;
					}
				}

				const tokens = Array.from(
					{length: 10},
					(_, index) => `data: "ü${index}"\n\n`,
				).join('');
				assert.equal(text, `${tokens}data: [DONE]\n\n`);
			},
		),
		{numRuns: 1000},
	);
});

test('events of another attempt and gaps in the index are faults and are not passed on', () => {
	const foreign = read(
		createEventStreamReader('a', 0),
		Buffer.from(eventOf('b', 0, '"x"')),
		[],
	);
	assert.match(foreign.fault!, /another attempt/v);
	const gap = read(
		createEventStreamReader('a', 0),
		Buffer.from(eventOf('a', 1, '"x"')),
		[],
	);
	assert.match(gap.fault!, /missing/v);
	assert.equal(gap.text, '');
});

test('events before a fault in the same chunk are delivered; the next call reports the fault', () => {
	const reader = createEventStreamReader('a', 0);
	const first = reader.push(
		Buffer.from(eventOf('a', 0, '"x"') + eventOf('b', 1, '"y"')),
	);
	assert.equal(first.kind === 'events' && first.text, 'data: "x"\n\n');
	assert.equal(reader.push(Buffer.alloc(0)).kind, 'fault');
});
