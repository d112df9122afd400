import assert from 'node:assert/strict';
import {test} from 'node:test';
import {judgeHead} from '../../../src/gateway/delivery/judge-head.ts';
import {exchangeOf, names, routeOf} from '../fixtures.ts';

const judge = (
	status: number,
	headers: Readonly<Record<string, string>>,
	options: {
		readonly canRetry?: boolean;
		readonly hasBegun?: boolean;
		readonly isStream?: boolean;
		readonly isResumable?: boolean;
	} = {},
) => {
	const all: Readonly<Record<string, string>> = {
		'x-test-id': 'request-1',
		...headers,
	};
	return judgeHead(
		{status, header: (name) => all[name], rawHeaders: []},
		exchangeOf({
			route: routeOf({
				kind: options.isStream ? 'streaming' : 'idempotent',
				isResumable: options.isResumable ?? false,
			}),
		}),
		names,
		{
			canRetry: options.canRetry ?? false,
			hasBegun: options.hasBegun ?? false,
		},
	);
};

const outcomeOf = (verdict: ReturnType<typeof judge>) =>
	verdict.kind === 'fault' ? verdict.fault.outcome : verdict.kind;

test('a response with the ID of another request proves nothing about this one', () => {
	assert.equal(
		outcomeOf(judge(200, {'x-test-id': 'other', 'x-test-signature': 's'})),
		'unknown',
	);
	assert.equal(
		outcomeOf(judge(503, {'x-test-id': 'other', 'x-test-not-run': '1'})),
		'unknown',
	);
});

test('only an explicit refusal or a misdirected request proves that the request did not run', () => {
	assert.equal(outcomeOf(judge(503, {'x-test-not-run': '1'})), 'not-run');
	assert.equal(outcomeOf(judge(421, {})), 'not-run');
	assert.equal(outcomeOf(judge(503, {})), 'whole');
	assert.equal(outcomeOf(judge(503, {}, {canRetry: true})), 'ran');
});

test('a success without a signature or with a content encoding is a fault', () => {
	assert.equal(outcomeOf(judge(200, {})), 'ran');
	assert.equal(
		outcomeOf(
			judge(200, {'x-test-signature': 's', 'content-encoding': 'gzip'}),
		),
		'ran',
	);
	assert.equal(outcomeOf(judge(200, {'x-test-signature': 's'})), 'whole');
	assert.equal(
		outcomeOf(judge(200, {'x-test-signature': 's'}, {isStream: true})),
		'stream',
	);
});

test('a failure is passed on if no other server may be tried', () => {
	assert.equal(outcomeOf(judge(500, {'x-test-signature': 's'})), 'whole');
	assert.equal(
		outcomeOf(judge(500, {'x-test-signature': 's'}, {canRetry: true})),
		'ran',
	);
});

test('a success of another media type is no stream on a resumable route, and continues none', () => {
	const signedJson = {
		'x-test-signature': 's',
		'content-type': 'application/json',
	};
	const resumable = {isStream: true, isResumable: true};
	assert.equal(judge(200, signedJson, resumable).kind, 'whole');
	assert.equal(judge(200, signedJson, {isStream: true}).kind, 'stream');
	assert.equal(
		outcomeOf(judge(200, signedJson, {...resumable, hasBegun: true})),
		'ran',
	);
	const events = {
		...signedJson,
		'content-type': 'Text/Event-Stream; charset=x',
	};
	assert.equal(judge(200, events, resumable).kind, 'stream');
});
