import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	findPromptHome,
	weighRegions,
	type PromptCandidate,
} from '../../../src/gateway/choosing/prompt-home.ts';
import {routeOf} from '../fixtures.ts';

const candidates: readonly PromptCandidate[] = [
	'a',
	'a',
	'b',
	'b',
	'c',
	'c',
].map((region, index) => ({id: `server-${index}`, region}));
const even = new Map([
	['a', 1],
	['b', 1],
	['c', 1],
]);
const parts = Array.from({length: 600}, (_, index) => `part-${index}`);

const countIn = (region: string, weights: ReadonlyMap<string, number>) =>
	parts.filter(
		(part) => findPromptHome(part, candidates, weights)?.region === region,
	).length;

test('parts spread over all servers in proportion to the weights of the regions', () => {
	assert.ok(Math.abs(countIn('c', even) - 200) < 50);
	assert.ok(Math.abs(countIn('c', new Map([...even, ['c', 3]])) - 360) < 60);
});

test('the removal of a server moves only the parts placed at it', () => {
	const remaining = candidates.slice(1);
	for (const part of parts) {
		const before = findPromptHome(part, candidates, even)!;
		const after = findPromptHome(part, remaining, even)!;
		assert.ok(before.id === after.id || before.id === 'server-0');
	}
});

test('regions that other routes of the service may not use get a higher weight', () => {
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
