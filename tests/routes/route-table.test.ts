import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	createRouteTable,
	parsePromptParts,
	pickService,
	placementPart,
} from '../../src/routes/index.ts';
import {documentOf, routeOf} from '../gateway/fixtures.ts';

test('the longest prefix of the host wins, and a prefix matches whole path segments only', () => {
	const table = createRouteTable(
		documentOf({
			routes: [
				routeOf({name: 'short', pathPrefix: '/a/'}),
				routeOf({name: 'long', pathPrefix: '/a/b/'}),
				routeOf({name: 'other', host: 'other.example', pathPrefix: '/'}),
			],
		}),
	);
	assert.equal(table.match('site.example', '/a/b/c?x=/a/')?.name, 'long');
	assert.equal(table.match('SITE.example:8080', '/a/bc')?.name, 'short');
	assert.equal(table.match('other.example', '/anything')?.name, 'other');
	assert.equal(table.match('site.example', '/ab'), undefined);
	assert.equal(table.match('unknown.example', '/a/b/'), undefined);
});

test('a lookup returns the same route as a linear search', () => {
	const path = fc
		.array(fc.constantFrom('a', 'b', ''), {maxLength: 5})
		.map((parts) => `/${parts.join('/')}`);
	fc.assert(
		fc.property(
			fc.uniqueArray(
				path.map((text) => (text.endsWith('/') ? text : `${text}/`)),
			),
			path,
			(prefixes, target) => {
				const routes = prefixes.map((pathPrefix) =>
					routeOf({name: pathPrefix, pathPrefix}),
				);
				const table = createRouteTable(documentOf({routes}));
				const expected = prefixes
					.filter((prefix) => target.startsWith(prefix))
					.toSorted((left, right) => right.length - left.length)[0];
				assert.equal(table.match('site.example', target)?.name, expected);
			},
		),
	);
});

test('a weighted split gives each service about its share and maps a request to the same service every time', () => {
	const route = routeOf({
		services: [
			{service: 'old', weight: 90},
			{service: 'new', weight: 10},
		],
	});
	const picks = Array.from({length: 4000}, (_, index) =>
		pickService(route, `request-${index}`),
	);
	const share = picks.filter((name) => name === 'new').length / picks.length;
	assert.ok(share > 0.08 && share < 0.12, `share ${share}`);
	assert.equal(pickService(route, 'x'), pickService(route, 'x'));
});

test('the longest shared part of a prompt determines its placement if it reaches the minimum length', () => {
	const parts = parsePromptParts('5c:800, 91:4100,e4:9000');
	assert.equal(
		placementPart({
			parts,
			tokensIn: 13_900,
			tokensOut: 80,
			expectedTokensOut: undefined,
		})?.id,
		'91',
	);
	assert.equal(
		placementPart({
			parts: parsePromptParts('5c:55,91:36,e4:200'),
			tokensIn: 291,
			tokensOut: 40,
			expectedTokensOut: undefined,
		}),
		undefined,
	);
	assert.deepEqual(parsePromptParts('broken,:3,a:x'), [
		{id: 'broken', tokens: 0},
	]);
});
