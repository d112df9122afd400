import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	compareStamps,
	createConfigurationStore,
	type ConfigurationSource,
} from '../../src/configuration/index.ts';
import {exampleText} from '../fixtures.ts';

const textOf = (version: number, comment = '') =>
	exampleText('ajoke').replace(
		'version: 1',
		() => `version: ${version} #${comment}`,
	);

test('an older version does not replace the version in force', () => {
	const store = createConfigurationStore();
	assert.equal(store.offer(textOf(2), 'platform', 0).kind, 'accepted');
	assert.equal(store.offer(textOf(1), 'peer', 1).kind, 'refused');
	assert.equal(store.stamp().version, 2);
	assert.equal(store.refusals()[0]?.reason, 'older');
});

test('an invalid document is rejected and the version in force stays', () => {
	const store = createConfigurationStore();
	store.offer(textOf(1), 'platform', 0);
	assert.equal(store.offer('{"version": 2}', 'platform', 1).kind, 'refused');
	assert.equal(store.stamp().version, 1);
	assert.equal(store.offer(textOf(3), 'platform', 2).kind, 'accepted');
});

test('a repeated offer of the document in force is not recorded as a rejection', () => {
	const store = createConfigurationStore();
	store.offer(textOf(1), 'platform', 0);
	store.offer(textOf(1), 'peer', 1);
	assert.equal(store.refusals().length, 0);
});

test('in any order of arrival, versions never decrease and all nodes converge on the same document', () => {
	const documents = [1, 2, 3, 4].flatMap((version) => [
		textOf(version, 'a'),
		textOf(version, 'b'),
	]);
	const sources: readonly ConfigurationSource[] = ['platform', 'peer'];
	fc.assert(
		fc.property(
			fc.shuffledSubarray([...documents, ...documents, '{}', 'version: 9'], {
				minLength: 1,
			}),
			fc.shuffledSubarray(documents, {minLength: documents.length}),
			(some, all) => {
				const store = createConfigurationStore();
				let before = store.stamp();
				for (const [index, text] of [...some, ...all].entries()) {
					store.offer(text, sources[index % 2]!, index);
					assert.ok(compareStamps(store.stamp(), before) >= 0);
					before = store.stamp();
				}

				const reference = createConfigurationStore();
				for (const text of documents) {
					reference.offer(text, 'platform', 0);
				}

				assert.deepEqual(store.stamp(), reference.stamp());
			},
		),
		{numRuns: 60},
	);
});
