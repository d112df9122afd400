import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	findPromptHome,
	weighRegions,
	type PromptCandidate,
} from '../../../src/gateway/choosing/prompt-home.ts';
import {routeOf} from '../fixtures.ts';

const holders: readonly PromptCandidate[] = ['a', 'a', 'b', 'b', 'c', 'c'].map(
	(region, index) => ({id: `server-${index}`, region}),
);
const even = new Map([
	['a', 1],
	['b', 1],
	['c', 1],
]);
const parts = Array.from({length: 600}, (_, index) => `part-${index}`);

const countIn = (region: string, weights: ReadonlyMap<string, number>) =>
	parts.filter(
		(part) => findPromptHome(part, holders, weights)?.region === region,
	).length;

test('parts spread over all servers, and by weight where regions have one', () => {
	assert.ok(Math.abs(countIn('c', even) - 200) < 50);
	assert.ok(Math.abs(countIn('c', new Map([...even, ['c', 3]])) - 360) < 60);
});

test('a server that goes moves its own parts only', () => {
	const left = holders.slice(1);
	for (const part of parts) {
		const before = findPromptHome(part, holders, even)!;
		const after = findPromptHome(part, left, even)!;
		assert.ok(before.id === after.id || before.id === 'server-0');
	}
});

test('regions that the other routes of the service may not use are weighed up', () => {
	const long = routeOf({name: 'long', isSticky: true});
	const short = routeOf({
		name: 'short',
		isSticky: true,
		homeRegions: ['a', 'b'],
	});
	const weights = weighRegions(long, [long, short], ['a', 'b', 'c']);
	assert.equal(weights.get('a'), 1);
	assert.ok(weights.get('c')! > 1);
	const alone = weighRegions(long, [long], ['a', 'b', 'c']);
	assert.equal(alone.get('c'), 1);
});
