// Guards against small nodes that are overloaded beside large ones, because callers pick at random among the nodes that they know.
import {test, type TestContext} from 'node:test';
import {selectByCapacity} from '../../../src/gateway/intake/entry-subset.ts';
import type {Member} from '../../../src/membership/index.ts';
import {memberOf} from '../../fixtures.ts';

const zoneOf = (
	capacities: readonly number[],
): {
	readonly members: readonly Member[];
	readonly capacityOf: (member: Member) => number;
} => {
	const members = capacities.map((_, index) =>
		memberOf(`node-${String(index).padStart(2, '0')}`, 'zone-a'),
	);
	return {
		members,
		capacityOf: (member) => capacities[members.indexOf(member)]!,
	};
};

const callers = Array.from({length: 2000}, (_, index) => `10.0.1.${index}`);

for (const capacities of [
	[5, 5, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1],
	[3, 2, 1],
	[1, 1, 4, 1],
]) {
	test(`callers use nodes of capacities ${capacities.join(' ')} in proportion`, (t: TestContext) => {
		const {members, capacityOf} = zoneOf(capacities);
		const uses = new Map<Member, number>();
		for (const caller of callers) {
			const selected = selectByCapacity(members, capacityOf, caller);
			t.assert.ok(selected.length >= 2);
			t.assert.strictEqual(new Set(selected).size, selected.length);
			for (const member of selected) {
				uses.set(member, (uses.get(member) ?? 0) + 1 / selected.length);
			}
		}

		const total = capacities.reduce((sum, each) => sum + each, 0);
		for (const member of members) {
			const fraction = (uses.get(member) ?? 0) / callers.length;
			// A node cannot get more than half of the callers' requests, because each caller knows two nodes at least.
			const expected = Math.min(0.5, capacityOf(member) / total);
			t.assert.ok(Math.abs(fraction - expected) < 0.1, `${fraction}`);
		}
	});
}

test('equal nodes, or nodes of unknown capacity, are all named', (t: TestContext) => {
	const {members, capacityOf} = zoneOf([2, 2, 2, 2, 2, 2, 2]);
	t.assert.strictEqual(
		selectByCapacity(members, capacityOf, 'a').length,
		members.length,
	);
	t.assert.strictEqual(
		selectByCapacity(members, () => undefined, 'a').length,
		members.length,
	);
});

test('a caller keeps its nodes, and loses no more than one with a node that is gone', (t: TestContext) => {
	const {members, capacityOf} = zoneOf([5, 5, 1, 1, 1, 1, 1, 1, 1, 1]);
	const before = selectByCapacity(members, capacityOf, 'caller');
	t.assert.deepStrictEqual(
		selectByCapacity(members.toReversed(), capacityOf, 'caller'),
		before,
	);
});
