import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	createPromptFeed,
	createPromptMap,
	maximumFeedChanges,
	type FeedAnswer,
	type PromptMap,
} from '../../src/prompts/index.ts';

const setUp = () => {
	const map = createPromptMap();
	const feed = createPromptFeed({
		epoch: 'one',
		map,
		isInZone: (server) => server.startsWith('near'),
	});
	return {map, feed};
};

const applyAnswer = (copy: PromptMap, answer: FeedAnswer) => {
	if (answer.isWhole) {
		copy.clear();
	}

	for (const change of answer.changes) {
		copy.apply(change);
	}
};

const pairsOf = (map: PromptMap) =>
	map
		.changes()
		.map(([server, part]) => `${server}/${part}`)
		.toSorted();

test('a node that queries occasionally has the same map after each answer', async () => {
	const steps = fc.array(
		fc.record({
			server: fc.constantFrom('near-1', 'near-2', 'far-1'),
			part: fc.constantFrom('', 'p', 'q', 'r'),
			tokens: fc.constantFrom(0, 600),
			isAsked: fc.boolean(),
		}),
		{maxLength: 40},
	);
	await fc.assert(
		fc.asyncProperty(steps, async (order) => {
			const {map, feed} = setUp();
			const copy = createPromptMap();
			let epoch = '';
			let after = 0;
			let published = 0;
			for (const {server, part, tokens, isAsked} of order) {
				const before = map.changes().length;
				feed.publish([[server, part, tokens]]);
				published += map.changes().length === before ? 0 : 1;
				if (isAsked && published > 0) {
					published = 0;
					const answer = await feed.answer({scope: 'all', epoch, after});
					applyAnswer(copy, answer);
					({epoch, next: after} = answer);
					assert.deepEqual(pairsOf(copy), pairsOf(map));
				}
			}
		}),
	);
});

test('a query is held until there are changes, and the answer contains only these', async () => {
	const {feed} = setUp();
	feed.publish([['near-1', 'p', 600]]);
	const first = await feed.answer({scope: 'all', epoch: '', after: 0});
	assert.equal(first.isWhole, true);
	const held = feed.answer({scope: 'all', epoch: 'one', after: first.next});
	feed.publish([['far-1', 'q', 600]]);
	const {isWhole, changes} = await held;
	assert.equal(isWhole, false);
	assert.deepEqual(changes, [['far-1', 'q', 600]]);
});

test('a node of another zone receives the engines of this zone only', async () => {
	const {feed} = setUp();
	feed.publish([
		['near-1', 'p', 600],
		['far-1', 'q', 600],
	]);
	const {changes} = await feed.answer({scope: 'zone', epoch: '', after: 0});
	assert.deepEqual(changes, [['near-1', 'p', 600]]);
});

test('a node that is too far behind, or states another epoch, receives the full map', async () => {
	const {feed} = setUp();
	for (let index = 0; index <= maximumFeedChanges; index += 1) {
		feed.publish([['near-1', `part-${index % 3}`, 600 + index]]);
	}

	const behind = await feed.answer({scope: 'all', epoch: 'one', after: 0});
	assert.equal(behind.isWhole, true);
	assert.equal(behind.changes.length, 3);
	const other = await feed.answer({
		scope: 'all',
		epoch: 'two',
		after: behind.next,
	});
	assert.equal(other.isWhole, true);
});
