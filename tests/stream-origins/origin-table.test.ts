import {test, type TestContext} from 'node:test';
import {
	createOriginTable,
	maximumOriginLifeMs,
	maximumOrigins,
} from '../../src/stream-origins/index.ts';

const recordOf = (key: string, lifeMs = 1000) => ({
	key,
	service: 'engine',
	softwareVersion: 'v1',
	lifeMs,
});

test('a record is found until its time is over', (t: TestContext) => {
	const table = createOriginTable();
	table.record(recordOf('a'), 0);
	t.assert.deepStrictEqual(table.find('a', 999), {
		service: 'engine',
		softwareVersion: 'v1',
	});
	t.assert.strictEqual(table.find('a', 1000), undefined);
	t.assert.strictEqual(table.find('b', 0), undefined);
});

test('records beyond the maximum evict the oldest, and expired ones are removed', (t: TestContext) => {
	const table = createOriginTable();
	for (let index = 0; index < maximumOrigins + 10; index += 1) {
		table.record(recordOf(String(index), 5000), index / 10);
	}

	t.assert.strictEqual(table.size(), maximumOrigins);
	t.assert.strictEqual(table.find('0', 0), undefined);
	for (let index = 0; index < maximumOrigins; index += 1) {
		table.record(recordOf('again', 5000), 20_000);
	}

	t.assert.strictEqual(table.size(), 1);
});

test('a record is not kept for longer than the maximum, whatever its sender states', (t: TestContext) => {
	const table = createOriginTable();
	table.record(recordOf('a', Number.MAX_VALUE), 0);
	t.assert.strictEqual(table.find('a', maximumOriginLifeMs), undefined);
});
