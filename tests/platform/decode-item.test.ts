import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {decodeItem} from '../../platform/decode-item.ts';

const encode = (value: unknown) =>
	Buffer.from(JSON.stringify(value)).toString('base64');

const entry = {
	service: 'engine',
	address: '10.0.0.1:8080',
	zone: 'zone-a',
	version: 'v1',
	slots: 64,
	state: 'draining',
	cold_left_ms: 1200,
	sequence: 4,
};

test('a server entry becomes a server of the registry', () => {
	const decoded = decodeItem({
		key: 'servers/i-1',
		revision: 9,
		value: encode(entry),
	});
	assert.deepEqual(decoded, {
		key: 'servers/i-1',
		revision: 9,
		value: {
			kind: 'server',
			server: {
				id: 'i-1',
				service: 'engine',
				address: '10.0.0.1:8080',
				availabilityZone: 'zone-a',
				slots: 64,
				isLeaving: true,
				coldMs: 1200,
			},
		},
	});
});

test('an evacuation, a removal and a key of no concern', () => {
	assert.deepEqual(
		decodeItem({key: 'op/evacuate/zone-a', revision: 1, value: encode({})})
			?.value,
		{kind: 'evacuation', availabilityZone: 'zone-a'},
	);
	assert.equal(
		decodeItem({key: 'servers/i-1', revision: 2, removed: true})?.value,
		undefined,
	);
	assert.equal(
		decodeItem({key: 'my/key', revision: 2, value: 'eA=='}),
		undefined,
	);
});

test('a value that lacks its address, or is no JSON, is an error and no entry', () => {
	const {address, ...rest} = entry;
	assert.notEqual(address, '');
	assert.throws(
		() => decodeItem({key: 'servers/i-1', revision: 1, value: encode(rest)}),
		/address/v,
	);
	fc.assert(
		fc.property(fc.string(), (value) => {
			assert.throws(
				() => decodeItem({key: 'op/config', revision: 1, value}),
				Error,
			);
		}),
	);
});
