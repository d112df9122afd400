import {test, type TestContext} from 'node:test';
import {createMemberEntries} from '../../src/membership/member-entries.ts';
import {memberOf} from '../fixtures.ts';

test('the list of members is a new one after a change, and the same one otherwise', (t: TestContext) => {
	const entries = createMemberEntries();
	entries.put(memberOf('a', 'zone-a'), 0);
	const first = entries.all();
	entries.takeUpdates(3);
	t.assert.strictEqual(entries.all(), first);
	entries.put({...memberOf('a', 'zone-a'), status: 'dead'}, 1);
	t.assert.notStrictEqual(entries.all(), first);
	t.assert.strictEqual(first[0]?.status, 'alive');
	t.assert.strictEqual(entries.all()[0]?.status, 'dead');
	entries.forget('a');
	t.assert.deepStrictEqual(entries.all(), []);
	t.assert.strictEqual(entries.find('a'), undefined);
});

test('the least transmitted updates are sent first, and each is sent a limited number of times', (t: TestContext) => {
	const entries = createMemberEntries();
	for (const id of ['a', 'b', 'c']) {
		entries.put(memberOf(id, 'zone-a'), 0);
	}

	const idsOf = (count: number) => entries.takeUpdates(count).map(({id}) => id);
	t.assert.deepStrictEqual(idsOf(2), ['a', 'b']);
	t.assert.deepStrictEqual(idsOf(2), ['c', 'a']);
	for (let round = 0; round < 20; round += 1) {
		entries.takeUpdates(3);
	}

	t.assert.deepStrictEqual(idsOf(3), []);
	entries.put({...memberOf('b', 'zone-a'), revision: 1}, 1);
	t.assert.deepStrictEqual(idsOf(3), ['b']);
});

test('members are found by their status and the time since when they have it', (t: TestContext) => {
	const entries = createMemberEntries();
	entries.put({...memberOf('a', 'zone-a'), status: 'suspect'}, 100);
	entries.put(memberOf('b', 'zone-a'), 0);
	t.assert.deepStrictEqual(entries.since('suspect', 99), []);
	t.assert.deepStrictEqual(
		entries.since('suspect', 100).map(({id}) => id),
		['a'],
	);
});
