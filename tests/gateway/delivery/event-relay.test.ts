import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {createEventRelay} from '../../../src/gateway/delivery/event-relay.ts';

const eventsFrom = (first: number, last: number, end = '\n') =>
	Array.from(
		{length: last - first + 1},
		(_, index) =>
			`id: ${first + index}${end}data: piece ${first + index}${end}${end}`,
	).join('');

test('a stream that is continued after a break at any byte arrives complete and in order', () => {
	const whole = Buffer.from(eventsFrom(1, 12));
	fc.assert(
		fc.property(
			fc.integer({min: 0, max: whole.length}),
			fc.integer({min: 1, max: 40}),
			(cut, chunk) => {
				const relay = createEventRelay(undefined);
				let text = '';
				for (let start = 0; start < cut; start += chunk) {
					const passed = relay.push(
						whole.subarray(start, Math.min(cut, start + chunk)),
					);
					assert.ok(!passed.isNextMissing);
					text += passed.bytes.toString();
				}

				const next = Number(relay.lastEventId() ?? 0) + 1;
				relay.restart();
				text += relay.push(Buffer.from(eventsFrom(next, 12))).bytes.toString();
				assert.equal(text, whole.toString());
			},
		),
	);
});

test('events that the receiver already has are skipped, and a missing one ends the stream', () => {
	const relay = createEventRelay('3');
	assert.equal(
		relay.push(Buffer.from(eventsFrom(2, 4))).bytes.toString(),
		eventsFrom(4, 4),
	);
	const {bytes, isNextMissing} = relay.push(Buffer.from(eventsFrom(6, 6)));
	assert.deepEqual([bytes.length, isNextMissing], [0, true]);
});

// Guards against streams that are continued after an event that was never relayed.
test('events before a missing one are relayed also if they arrive with the ones after it', () => {
	const relay = createEventRelay(undefined);
	const text = `${eventsFrom(1, 2)}${eventsFrom(4, 4)}`;
	const {bytes, isNextMissing} = relay.push(Buffer.from(text));
	assert.deepEqual([bytes.toString(), isNextMissing], [eventsFrom(1, 2), true]);
	assert.equal(relay.lastEventId(), '2');
});

test('lines may end with a carriage return', () => {
	const relay = createEventRelay(undefined);
	const text = eventsFrom(1, 2, '\r\n');
	assert.equal(relay.push(Buffer.from(text)).bytes.toString(), text);
	assert.ok(!relay.progress().isInsideEvent());
});

test('a partial event is not relayed', () => {
	const relay = createEventRelay(undefined);
	assert.equal(relay.push(Buffer.from('id: 1\ndata: ha')).bytes.length, 0);
	assert.ok(relay.progress().isInsideEvent());
});
