import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	isPartFingerprint,
	partFingerprintOf,
} from '../../src/quarantine/index.ts';
import {partFingerprintsOfExchange} from '../../src/gateway/fingerprint-of-exchange.ts';

test('the same part has another fingerprint at another service, and none that a request can have', () => {
	const fingerprint = partFingerprintOf('engine', 'a');
	assert.notEqual(partFingerprintOf('other', 'a'), fingerprint);
	assert.notEqual(partFingerprintOf('engine', 'b'), fingerprint);
	assert.equal(partFingerprintOf('engine', 'a'), fingerprint);
	assert.ok(isPartFingerprint(fingerprint));
	assert.ok(!isPartFingerprint(fingerprint.slice('part-'.length)));
});

test('the last part of a prompt is its own, and of the others only the first eight count', () => {
	const partsOf = (count: number) =>
		partFingerprintsOfExchange({
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
		});
	assert.equal(partsOf(0).length, 0);
	assert.equal(partsOf(1).length, 0);
	assert.equal(partsOf(3).length, 2);
	assert.equal(partsOf(400).length, 8);
});
