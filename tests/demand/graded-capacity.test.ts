import {test, type TestContext} from 'node:test';
import {
	gradedCapacityFactor,
	isShareSmall,
	leastUrgentCapacityFactor,
	mostUrgentCapacityFactor,
	urgencyLevelsOf,
} from '../../src/demand/index.ts';
import {documentOf, routeOf} from '../gateway/fixtures.ts';

test('less urgent requests leave slots free for more urgent ones', (t: TestContext) => {
	const levels = [0, 1, 2];
	t.assert.strictEqual(
		gradedCapacityFactor(levels, 0),
		mostUrgentCapacityFactor,
	);
	t.assert.strictEqual(
		gradedCapacityFactor(levels, 2),
		leastUrgentCapacityFactor,
	);
	const middle = gradedCapacityFactor(levels, 1);
	t.assert.ok(
		middle > leastUrgentCapacityFactor && middle < mostUrgentCapacityFactor,
	);
	t.assert.ok(leastUrgentCapacityFactor < 1);
});

test('a document asks for regional demand by three priorities of one service', (t: TestContext) => {
	const routesOf = (...priorities: readonly number[]) =>
		documentOf({
			routes: priorities.map((priority) =>
				routeOf({name: `route-${priority}`, priority}),
			),
		});
	t.assert.strictEqual(urgencyLevelsOf(routesOf(0, 1)), undefined);
	t.assert.deepStrictEqual(
		urgencyLevelsOf(routesOf(2, 0, 1))?.get('engine'),
		[0, 1, 2],
	);
	const twoServices = documentOf({
		routes: [
			routeOf({name: 'a', priority: 0}),
			routeOf({name: 'b', priority: 1}),
			routeOf({
				name: 'c',
				priority: 2,
				services: [{service: 'plain', weight: 1}],
			}),
		],
	});
	t.assert.strictEqual(urgencyLevelsOf(twoServices), undefined);
});

test('shares are small where each node has few of the requests at a server', (t: TestContext) => {
	t.assert.ok(isShareSmall(24, 24));
	t.assert.ok(isShareSmall(24, 6));
	t.assert.ok(!isShareSmall(96, 3));
	t.assert.ok(!isShareSmall(24, 3));
});
