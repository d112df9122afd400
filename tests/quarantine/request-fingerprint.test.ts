import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {
	fingerprintDigits,
	fingerprintOf,
	type FingerprintedRequest,
} from '../../src/quarantine/index.ts';

const request: FingerprintedRequest = {
	method: 'POST',
	host: 'site.example',
	target: '/a/b?c=1',
	client: 'account',
	body: Buffer.from('text'),
};

test('the same path, caller and body give the same fingerprint', () => {
	const again = {...request, body: Buffer.from('text')};
	assert.equal(fingerprintOf(request), fingerprintOf(again));
	assert.equal(fingerprintOf(request).length, fingerprintDigits);
});

test('a difference in any part gives another fingerprint', () => {
	const others = [
		{method: 'GET'},
		{host: 'other.example'},
		{target: '/a/b?c=2'},
		{client: 'other'},
		{client: undefined},
		{body: Buffer.from('Text')},
		{body: undefined},
	].map((change) => fingerprintOf({...request, ...change}));
	assert.equal(new Set([fingerprintOf(request), ...others]).size, 8);
});
