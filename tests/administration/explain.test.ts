import assert from 'node:assert/strict';
import {test} from 'node:test';
import {explainRequest} from '../../src/administration/explain.ts';
import {exampleConfiguration} from '../fixtures.ts';

const configuration = exampleConfiguration();

test('an explanation names the matching policy and the reason why each other candidate is excluded', () => {
	const explanation = explainRequest(configuration, {
		model: 'scribe-8b',
		labels: 'weight=heavy',
		residency: 'abuja',
	});
	assert.strictEqual(explanation.kind, 'explained');
	assert.equal(explanation.policy, 'heavy-drafts');
	assert.deepEqual(
		explanation.regions.map(({verdict}) => verdict),
		['candidate', 'residency', 'residency'],
	);
	const verdictOf = (name: string) =>
		explanation.backendServers.find((server) => server.name === name)?.verdict;
	assert.equal(verdictOf('quill-scribes-1'), 'candidate');
	assert.equal(verdictOf('quill-scribes-2'), 'region');
	assert.equal(verdictOf('docket-desk-1'), 'other-service');
});

test('a query that cannot be explained returns a fault', () => {
	assert.equal(explainRequest(undefined, {}).kind, 'fault');
	assert.equal(explainRequest(configuration, {client: 'nobody'}).kind, 'fault');
	assert.equal(explainRequest(configuration, {model: 'nothing'}).kind, 'fault');
	assert.equal(explainRequest(configuration, {labels: 'x'}).kind, 'fault');
});
