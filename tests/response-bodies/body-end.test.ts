import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	judgeBodyEnd,
	streamTailOf,
	type BodyFraming,
} from '../../src/response-bodies/index.ts';

const framings: readonly BodyFraming[] = ['none', 'length', 'chunked', 'close'];

const eventsOf = (hasEvent: boolean, isInsideEvent: boolean) => ({
	hasEvent: () => hasEvent,
	eventCount: () => Number(hasEvent),
	isInsideEvent: () => isInsideEvent,
});

test('a body without events is complete once its client has reported its end', () => {
	for (const framing of framings) {
		assert.equal(judgeBodyEnd({framing, events: undefined}).kind, 'complete');
	}
});

test('a stream is complete between two events, and before the first one only if its framing proves the end', () => {
	for (const framing of framings) {
		const kindWith = (...events: Parameters<typeof eventsOf>) =>
			judgeBodyEnd({framing, events: eventsOf(...events)}).kind;
		assert.equal(kindWith(true, false), 'complete');
		assert.equal(
			kindWith(false, false),
			framing === 'close' ? 'broken' : 'complete',
		);
		assert.equal(kindWith(true, true), 'broken');
	}
});

test('the tail of a stream names where its bytes end', () => {
	assert.deepEqual(
		[
			eventsOf(false, false),
			eventsOf(true, false),
			eventsOf(true, true),
			eventsOf(false, true),
		].map((events) => streamTailOf(events)),
		['before-first-event', 'between-events', 'inside-event', 'inside-event'],
	);
});
