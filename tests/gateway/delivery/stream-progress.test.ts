import {test, type TestContext} from 'node:test';
import {
	createStreamProgress,
	maximumBytesPerEvent,
} from '../../../src/gateway/delivery/stream-progress.ts';

// Guards against streams that send bytes without end and never an event.
test('a stream may send a limited number of bytes between two events', (t: TestContext) => {
	let events = 0;
	const progress = createStreamProgress({eventCount: () => events});
	const results: boolean[] = [];
	const record = (bytes: number) => {
		results.push(progress.recordChunk(bytes));
	};

	record(maximumBytesPerEvent);
	events += 1;
	record(maximumBytesPerEvent);
	record(maximumBytesPerEvent);
	record(1);
	t.assert.deepStrictEqual(results, [true, true, true, false]);
});
