import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createDigestTable, type DigestEntry} from '../../src/digests/index.ts';

const create = (node: string, availabilityZone = 'a', incarnation = 1) =>
	createDigestTable({
		node,
		availabilityZone,
		incarnation: () => incarnation,
		sizeOf: () => 100,
	});

const loads = (running: number) =>
	({
		kind: 'loads',
		node: 'shared',
		reports: [
			{backendServer: 's', running, queued: 0, slots: 8, incarnation: 'i'},
		],
	}) as const;

const runningOf = (value: DigestEntry['value']): number =>
	value.kind === 'loads' ? value.reports[0]!.running : 0;

test('entries scoped to a zone are not offered to other zones', () => {
	const table = create('n');
	table.put(loads(1), 'availability-zone', 0);
	table.put(
		{kind: 'zone-summary', availabilityZone: 'a', services: {}},
		'everywhere',
		0,
	);
	assert.equal(table.allEntries('a', 0).length, 2);
	assert.equal(table.allEntries('b', 0).length, 1);
});

test('a message holds entries up to its size budget, and each entry is sent a bounded number of times', () => {
	const table = create('n');
	for (let index = 0; index < 10; index += 1) {
		table.put(
			{kind: 'leaving', backendServer: `s${index}`, incarnation: 'i'},
			'availability-zone',
			0,
		);
	}

	assert.equal(table.select('a', 450, 5, 0).length, 4);
	let sent = 4;
	for (let round = 0; round < 200; round += 1) {
		sent += table.select('a', 450, 5, 0).length;
	}

	assert.equal(sent, 10 * 3 * 3);
});

test('entries expire after their retention time', () => {
	const table = create('n');
	table.put(loads(1), 'availability-zone', 0);
	assert.equal(table.values('loads', 1000).length, 1);
	assert.equal(table.values('loads', 100_000).length, 0);
});

test('the latest entry of a reporter wins, regardless of delivery order and duplicates', () => {
	const entries: readonly DigestEntry[] = [1, 2].flatMap((incarnation) =>
		[1, 2, 3].map((counter) => ({
			reporter: 'other',
			incarnation,
			counter,
			ageMs: 0,
			scope: 'availability-zone' as const,
			availabilityZone: 'a',
			value: loads(incarnation * 10 + counter),
		})),
	);
	fc.assert(
		fc.property(
			fc.shuffledSubarray([...entries, ...entries], {
				minLength: entries.length,
			}),
			(order) => {
				const table = create('n');
				for (const entry of [...order, ...order]) {
					table.apply([entry], 0);
				}

				const latest = Math.max(...order.map(({value}) => runningOf(value)));
				assert.equal(
					table.values('loads', 0)[0]!.value.reports[0]!.running,
					latest,
				);
			},
		),
	);
});

test('of two reports of the same load, the more recent one wins', () => {
	const table = create('n');
	const entry = {
		incarnation: 1,
		counter: 1,
		scope: 'availability-zone',
		availabilityZone: 'a',
	} as const;
	table.apply([{...entry, reporter: 'x', ageMs: 100, value: loads(1)}], 1000);
	table.apply([{...entry, reporter: 'y', ageMs: 800, value: loads(2)}], 1000);
	assert.equal(table.values('loads', 1000)[0]!.value.reports[0]!.running, 1);
});

test('a node ignores its own entries when peers return them', () => {
	const table = create('n');
	table.put(loads(5), 'availability-zone', 100);
	const [echo] = table.allEntries('a', 100);
	table.put(loads(6), 'availability-zone', 200);
	table.apply([echo!], 300);
	assert.equal(table.values('loads', 300)[0]!.value.reports[0]!.running, 6);
});
