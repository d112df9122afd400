import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createZoneRoleHolders,
	type Member,
} from '../../src/membership/index.ts';
import {memberOf} from '../fixtures.ts';

test('each zone has one holder of a role, the same in every view, and a leaving node holds no role', () => {
	const all = Array.from({length: 12}, (_, index) =>
		memberOf(`node-${index}`, `zone-${index % 3}`),
	);
	const holdersAt = (self: Member) => {
		const others = all.filter(({id}) => id !== self.id);
		return createZoneRoleHolders(
			'role',
			() => self,
			() => others,
		)();
	};

	const namesOf = (holders: ReadonlyMap<string, Member>) =>
		[...holders].map(([zone, {id}]) => `${zone} ${id}`).toSorted();
	const seen = new Set(all.map((self) => namesOf(holdersAt(self)).join(', ')));
	assert.equal(seen.size, 1);
	for (const holder of holdersAt(all[0]!).values()) {
		const after = holdersAt({...holder, status: 'leaving'});
		assert.notEqual(after.get(holder.availabilityZone)?.id, holder.id);
	}
});

test('holders are recomputed when the members change, and only then', () => {
	let others = [memberOf('node-1', 'zone-a')];
	const self = memberOf('node-2', 'zone-a');
	const holders = createZoneRoleHolders(
		'role',
		() => self,
		() => others,
	);
	assert.equal(holders(), holders());
	const before = holders();
	others = [memberOf('node-3', 'zone-b')];
	assert.notEqual(holders(), before);
	assert.deepEqual([...holders().keys()], ['zone-a', 'zone-b']);
});
