import assert from 'node:assert/strict';
import {test} from 'node:test';
import {selectEntryMembers} from '../../../src/gateway/intake/entry-members.ts';
import {memberOf} from '../../fixtures.ts';

// Zones a1 and a2 are in region a.
const idsFor = (ids: readonly string[], availabilityZone: string) =>
	selectEntryMembers({
		members: ids.map((id) => memberOf(id, id.slice(0, 2))),
		regionOf: (zone) => zone.slice(0, 1),
		homeRoutes: () => 0,
		region: availabilityZone.slice(0, 1),
		availabilityZone,
	}).map(({id}) => id);

test('a caller is told of its zone where that has two nodes, else of its region', () => {
	assert.deepEqual(idsFor(['a1-1', 'a1-2', 'a2-1', 'b1-1'], 'a1'), [
		'a1-1',
		'a1-2',
	]);
	assert.deepEqual(idsFor(['a1-1', 'a2-1', 'b1-1'], 'a1'), ['a1-1', 'a2-1']);
});

test('one node of the own region is enough to name no other region', () => {
	assert.deepEqual(idsFor(['a1-1', 'b1-1', 'b1-2'], 'a1'), ['a1-1']);
	assert.deepEqual(idsFor(['b1-1', 'b1-2'], 'a1'), ['b1-1', 'b1-2']);
});

test('where all nodes of a region leave, those are named before other regions, and only then', () => {
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

test('where the region has no node, those are named where most routes with homes may run', () => {
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
