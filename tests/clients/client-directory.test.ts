import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	limitUnitsUsed,
	createClientDirectory,
} from '../../src/clients/index.ts';
import {sha256} from '../../src/shared/index.ts';
import {accountOf, routeOf} from '../gateway/fixtures.ts';

const regions = ['east', 'west', 'north'];

test('an account is found by each of its keys, and a key of two accounts belongs to the later one', () => {
	const directory = createClientDirectory(
		[
			accountOf({name: 'first', keyDigests: [sha256('a'), sha256('b')]}),
			accountOf({name: 'second', keyDigests: [sha256('b')]}),
			accountOf({name: 'without-keys', keyDigests: []}),
		],
		[routeOf()],
	);
	assert.equal(directory.byKey(sha256('a'))?.name, 'first');
	assert.equal(directory.byKey(sha256('b'))?.name, 'second');
	assert.equal(directory.byKey('a'), undefined);
	assert.equal(directory.byName('without-keys')?.name, 'without-keys');
});

test('a request is served only in regions that both the route and the account allow', () => {
	const homes = fc.subarray(regions);
	fc.assert(
		fc.property(homes, homes, (routeHomes, clientHomes) => {
			const route = routeOf({homeRegions: routeHomes});
			const client = accountOf({homeRegions: clientHomes});
			const bound = createClientDirectory([client], [route]).bind(
				route,
				client,
			);
			const isAllowed = (homeRegions: readonly string[], region: string) =>
				homeRegions.length === 0 || homeRegions.includes(region);
			const allowed = regions.filter(
				(region) =>
					isAllowed(routeHomes, region) && isAllowed(clientHomes, region),
			);
			assert.deepEqual(
				regions.filter(
					(region) =>
						bound !== undefined && isAllowed(bound.homeRegions, region),
				),
				allowed,
			);
		}),
	);
});

test("the account's priority takes precedence over the route's, and ranks have no gaps", () => {
	const routes = [
		routeOf({name: 'urgent', priority: 0}),
		routeOf({name: 'slow', priority: 7}),
	];
	const clients = [
		accountOf({name: 'low', priority: 40}),
		accountOf({name: 'high', priority: 3}),
	];
	const directory = createClientDirectory(clients, routes);
	const rankOf = (client: number, route: number) =>
		directory.bind(routes[route]!, clients[client]!)?.priority;
	assert.deepEqual(
		[rankOf(1, 0), rankOf(1, 1), rankOf(0, 0), rankOf(0, 1)],
		[0, 1, 2, 3],
	);
});

test('a request uses one unit, its tokens, or the default for requests that declare none', () => {
	const limit = {unit: 'tokens', perSecond: 10, burst: 0, plainTokens: 200};
	assert.equal(limitUnitsUsed({...limit, unit: 'requests'}, 5000), 1);
	assert.equal(limitUnitsUsed({...limit, unit: 'tokens'}, 5000), 5000);
	assert.equal(limitUnitsUsed({...limit, unit: 'tokens'}, undefined), 200);
});
