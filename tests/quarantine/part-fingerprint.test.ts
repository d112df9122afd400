import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	isPartFingerprint,
	partFingerprintOf,
} from '../../src/quarantine/index.ts';
import {partFingerprintsOfExchange} from '../../src/gateway/fingerprint-of-exchange.ts';

const known = {service: 'engine', softwareVersion: 'v1', part: 'a'};

test('the same part has another fingerprint at another service or software version', () => {
	const fingerprints = [
		known,
		{...known, service: 'other'},
		{...known, softwareVersion: 'v2'},
		{...known, part: 'b'},
	].map((part) => partFingerprintOf(part));
	assert.equal(new Set(fingerprints).size, 4);
	assert.equal(fingerprints[0], partFingerprintOf({...known}));
	assert.ok(fingerprints.every((each) => isPartFingerprint(each)));
});

test('the last part of a prompt is its own, and of the others only the first eight count', () => {
	const partsOf = (count: number) =>
		partFingerprintsOfExchange(
			{
				service: 'engine',
				prompt: {
					parts: Array.from({length: count}, (_, index) => ({
						id: `part ${index}`,
						tokens: 1,
					})),
					tokensIn: 1,
					tokensOut: 1,
					expectedTokensOut: undefined,
				},
			},
			'v1',
		);
	assert.equal(partsOf(0).length, 0);
	assert.equal(partsOf(1).length, 0);
	assert.equal(partsOf(3).length, 2);
	assert.equal(partsOf(400).length, 8);
});
