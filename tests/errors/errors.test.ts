import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	answerTable,
	createGatewayError,
	errorKinds,
	renderError,
} from '../../src/errors/index.ts';

test('every error kind maps to an HTTP error status', () => {
	for (const kind of errorKinds) {
		const {status} = answerTable[kind];
		assert.ok(status >= 400 && status < 600, kind);
	}
});

test('a rendered error contains its kind, outcome, request id and retry time', () => {
	const rendered = renderError(
		createGatewayError('overloaded', 'full', {retryAfterSeconds: 1.2}),
		'id',
	);
	assert.equal(rendered.status, 503);
	assert.equal(rendered.headers['retry-after'], '2');
	assert.equal(rendered.headers['x-should-retry'], 'true');
	const {error} = JSON.parse(rendered.body) as {error: Record<string, unknown>};
	assert.equal(error.type, 'overloaded');
	assert.equal(error.outcome, 'not-run');
	assert.equal(error.requestId, 'id');
});

test('x-should-retry is false if the outcome is unknown', () => {
	for (const kind of errorKinds) {
		const {headers} = renderError(
			createGatewayError(kind, '', {outcome: 'unknown', retryAfterSeconds: 1}),
		);
		assert.equal(headers['x-should-retry'], 'false');
	}
});
