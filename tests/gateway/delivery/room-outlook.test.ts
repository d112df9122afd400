import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {
	assumedPerSecond,
	createRoomOutlook,
	outlookMs,
} from '../../../src/gateway/delivery/room-outlook.ts';

test('room is expected as often as it became free lately', (t: TestContext) => {
	const outlook = createRoomOutlook();
	for (let index = 0; index < 40; index += 1) {
		outlook.freed('engine', index * 50);
	}

	// Forty in two seconds: one each 50 ms.
	t.assert.strictEqual(outlook.waitMs('engine', 0, 1950), 50);
	t.assert.strictEqual(outlook.waitMs('engine', 9, 1950), 500);
});

test('where none became free a modest rate is assumed', (t: TestContext) => {
	const outlook = createRoomOutlook();
	const expected = 1000 / assumedPerSecond;
	t.assert.strictEqual(outlook.waitMs('engine', 0, 0), expected);
	outlook.freed('engine', 0);
	t.assert.strictEqual(outlook.waitMs('engine', 0, outlookMs + 1), expected);
	t.assert.strictEqual(outlook.waitMs('other', 0, 0), expected);
});

test('who is refused later is told to come back later', (t: TestContext) => {
	const outlook = createRoomOutlook();
	const first = outlook.waitMs('engine', 3, 0);
	outlook.refused('engine', 0);
	t.assert.ok(outlook.waitMs('engine', 3, 0) > first);
});

test('a wait is a time, and no shorter for more before', (t: TestContext) => {
	fc.assert(
		fc.property(
			fc.array(fc.nat(5000), {maxLength: 700}),
			fc.nat(200),
			fc.nat(6000),
			(freed, before, now) => {
				const outlook = createRoomOutlook();
				for (const at of freed.toSorted((left, right) => left - right)) {
					outlook.freed('engine', at);
				}

				const wait = outlook.waitMs('engine', before, now);
				t.assert.ok(wait > 0 && Number.isFinite(wait));
				t.assert.ok(outlook.waitMs('engine', before + 1, now) > wait);
			},
		),
	);
});
