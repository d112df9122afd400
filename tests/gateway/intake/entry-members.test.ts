import assert from 'node:assert/strict';
import {test} from 'node:test';
import {selectEntryMembers} from '../../../src/gateway/intake/entry-members.ts';
import {memberOf} from '../../fixtures.ts';

// Zones a1 and a2 belong to region a.
const idsFor = (ids: readonly string[], availabilityZone: string) =>
	selectEntryMembers({
		members: ids.map((id) => memberOf(id, id.slice(0, 2))),
		regionOf: (zone) => zone.slice(0, 1),
		homeRoutes: () => 0,
		region: availabilityZone.slice(0, 1),
		availabilityZone,
	}).map(({id}) => id);

test('a caller is given the nodes of its zone if that has two, else those of its region', () => {
	assert.deepEqual(idsFor(['a1-1', 'a1-2', 'a2-1', 'b1-1'], 'a1'), [
		'a1-1',
		'a1-2',
	]);
	assert.deepEqual(idsFor(['a1-1', 'a2-1', 'b1-1'], 'a1'), ['a1-1', 'a2-1']);
});

test('one node in the region of the caller is enough to give none of other regions', () => {
	assert.deepEqual(idsFor(['a1-1', 'b1-1', 'b1-2'], 'a1'), ['a1-1']);
	assert.deepEqual(idsFor(['b1-1', 'b1-2'], 'a1'), ['b1-1', 'b1-2']);
});

test('leaving nodes of a region are given before other regions, but only when all of its nodes are leaving', () => {
	const named = (...members: ReadonlyArray<[string, 'alive' | 'leaving']>) =>
		selectEntryMembers({
			members: members.map(([id, status]) =>
				memberOf(id, id.slice(0, 2), {status}),
			),
			regionOf: (zone) => zone.slice(0, 1),
			homeRoutes: () => 0,
			region: 'a',
			availabilityZone: 'a1',
		}).map(({id}) => id);

	assert.deepEqual(
		named(['a1-1', 'leaving'], ['a1-2', 'leaving'], ['b1-1', 'alive']),
		['a1-1', 'a1-2'],
	);
	assert.deepEqual(
		named(['a1-1', 'leaving'], ['a1-2', 'alive'], ['b1-1', 'alive']),
		['a1-2'],
	);
	assert.deepEqual(named(['b1-1', 'leaving'], ['b1-2', 'alive']), ['b1-2']);
});

test('without a node in the region, nodes are given from where most routes with home regions may run', () => {
	const named = (
		homes: Readonly<Record<string, number>>,
		leaving: readonly string[] = [],
	) =>
		selectEntryMembers({
			members: ['b1-1', 'b1-2', 'c1-1'].map((id) =>
				memberOf(id, id.slice(0, 2), {
					status: leaving.includes(id) ? 'leaving' : 'alive',
				}),
			),
			regionOf: (zone) => zone.slice(0, 1),
			homeRoutes: (region) => homes[region] ?? 0,
			region: 'a',
			availabilityZone: 'a1',
		}).map(({id}) => id);

	assert.deepEqual(named({}), ['b1-1', 'b1-2', 'c1-1']);
	assert.deepEqual(named({}, ['b1-1']), ['b1-2', 'c1-1']);
	assert.deepEqual(named({a: 3, b: 1, c: 2}), ['c1-1']);
	assert.deepEqual(named({a: 1, b: 1}), ['b1-1', 'b1-2']);
	assert.deepEqual(named({b: 1}, ['b1-2']), ['b1-1']);
	assert.deepEqual(named({b: 1}, ['b1-1', 'b1-2']), ['b1-1', 'b1-2']);
});
