import {test, type TestContext} from 'node:test';
import {
	createLimitLog,
	limitLogIntervalMs,
} from '../../src/backend-limits/index.ts';

test('changes of a limit are logged at intervals, and its start and end always', (t: TestContext) => {
	const lines: unknown[] = [];
	const write = (facts: unknown) => {
		lines.push(facts);
	};

	const log = createLimitLog({
		debug: write,
		info: write,
		warn: write,
		error: write,
	});
	const change = (
		before: number | undefined,
		perSecond: number | undefined,
		now: number,
	) => {
		log.changed(
			{incarnationId: 'a 1', before, perSecond, source: 'answer', ageMs: 12.4},
			{sentBefore: 3},
			now,
		);
	};

	change(undefined, 5, 0);
	for (let now = 1; now < limitLogIntervalMs; now += 1) {
		change(5, 6, now);
	}

	t.assert.strictEqual(lines.length, 1);
	change(6, 7, limitLogIntervalMs);
	change(7, undefined, limitLogIntervalMs + 1);
	t.assert.strictEqual(lines.length, 3);
	t.assert.deepStrictEqual(lines[0], {
		server: 'a 1',
		before: undefined,
		perSecond: 5,
		source: 'answer',
		ageMs: 12,
		sentBefore: 3,
	});
});
