import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	createPromptMap,
	maximumPartsPerServer,
	type PromptChange,
} from '../../src/prompts/index.ts';

const changes = fc.array(
	fc.record({
		server: fc.constantFrom('a', 'b', 'c'),
		part: fc.constantFrom('', 'p', 'q', 'r'),
		tokens: fc.constantFrom(0, 600, 13_000),
	}),
	{maxLength: 60},
);

test('the map agrees with a plain set of pairs after any changes', () => {
	fc.assert(
		fc.property(changes, (steps) => {
			const map = createPromptMap();
			const model = new Set<string>();
			for (const {server, part, tokens} of steps) {
				map.apply([server, part, tokens]);
				if (part === '') {
					for (const pair of model) {
						if (pair.startsWith(server)) {
							model.delete(pair);
						}
					}
				} else if (tokens > 0) {
					model.add(`${server}/${part}`);
				} else {
					model.delete(`${server}/${part}`);
				}
			}

			for (const server of ['a', 'b', 'c']) {
				for (const part of ['p', 'q', 'r']) {
					const isCached = model.has(`${server}/${part}`);
					assert.equal(map.holds(server, part), isCached);
					assert.equal(map.holders(part).includes(server), isCached);
				}
			}
		}),
	);
});

test('a copy made of all changes is the same map', () => {
	fc.assert(
		fc.property(changes, (steps) => {
			const map = createPromptMap();
			const copy = createPromptMap();
			for (const {server, part, tokens} of steps) {
				map.apply([server, part, tokens]);
			}

			for (const change of map.changes()) {
				copy.apply(change);
			}

			assert.deepEqual(copy.changes(), map.changes());
		}),
	);
});

test('a change that is already known does not change the map', () => {
	const map = createPromptMap();
	const change: PromptChange = ['a', 'p', 600];
	assert.equal(map.apply(change), true);
	assert.equal(map.apply(change), false);
	assert.equal(map.apply(['a', 'p', 0]), true);
	assert.equal(map.apply(['a', 'p', 0]), false);
	assert.equal(map.apply(['b', '', 0]), false);
});

test('the least recently updated parts are evicted first', () => {
	const map = createPromptMap();
	for (let index = 0; index <= maximumPartsPerServer; index += 1) {
		map.apply(['a', `part-${index}`, 600]);
	}

	assert.equal(map.holds('a', 'part-0'), false);
	assert.equal(map.holds('a', 'part-1'), true);
	assert.equal(map.changes().length, maximumPartsPerServer);
});
