import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {decodeItem} from '../../platform/decode-item.ts';
import {sha256} from '../../src/shared/index.ts';

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

test('a server entry is decoded into a registry server', () => {
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
				softwareVersion: 'v1',
				address: '10.0.0.1:8080',
				availabilityZone: 'zone-a',
				slots: 64,
				isLeaving: true,
				sequence: 4,
				coldMs: 1200,
			},
		},
	});
});

test('evacuations and removals are decoded, and unrelated keys are skipped', () => {
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

test('a value without an address or with invalid JSON is rejected', () => {
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

const routesEntry = {
	version: 3,
	routes: [],
	services: [],
	limits: {
		max_header_bytes: 1,
		max_body_bytes: 1,
		header_timeout_ms: 1,
		idle_timeout_ms: 1,
	},
};

const decodeClients = (tenants: unknown) => {
	const value = decodeItem({
		key: 'op/config',
		revision: 4,
		value: encode({...routesEntry, tenants}),
	})?.value;
	assert.strictEqual(value?.kind, 'routes');
	return value.document.clients;
};

test('client accounts contain only digests of their API keys', () => {
	const clients = decodeClients([
		{
			name: 'a',
			api_keys: ['secret-key'],
			priority: 2,
			unit: 'tokens',
			plain_tokens: 200,
			rate_per_s: 5000,
			burst: 700,
			home_regions: ['east'],
		},
		{name: 'b', api_keys: [], rate_per_s: 0},
	]);
	assert.ok(!JSON.stringify(clients).includes('secret-key'));
	assert.deepEqual(clients, [
		{
			name: 'a',
			keyDigests: [sha256('secret-key')],
			priority: 2,
			homeRegions: ['east'],
			limit: {unit: 'tokens', perSecond: 5000, burst: 700, plainTokens: 200},
		},
		{
			name: 'b',
			keyDigests: [],
			priority: 0,
			homeRegions: [],
			limit: undefined,
		},
	]);
	assert.equal(decodeClients(undefined), undefined);
});

test('an invalid client account makes the whole document invalid', () => {
	const invalidValues = [
		{api_keys: ['k']},
		{name: 'a', api_keys: 'k'},
		{name: 'a', api_keys: [], unit: 'pages'},
		{name: 'a', api_keys: [], rate_per_s: -1},
		{name: 'a', api_keys: [], rate_per_s: 'many'},
	];
	for (const client of invalidValues) {
		assert.throws(() => decodeClients([client]), Error);
	}
});

test('a server entry with a missing field, a wrong type or an unknown state is rejected', () => {
	const {address, ...withoutAddress} = entry;
	const invalidValues = [
		withoutAddress,
		{...entry, address: address.replace('8080', 'x')},
		{...entry, slots: '64'},
		{...entry, service: 7},
		{...entry, state: 'resting'},
		{...entry, cold_left_ms: 'some'},
		{...entry, born: 1.5},
		{...entry, born: 'today'},
		'text',
		null,
	];
	for (const value of invalidValues) {
		assert.throws(
			() => decodeItem({key: 'servers/i-1', revision: 9, value: encode(value)}),
			Error,
		);
	}

	assert.throws(
		() => decodeItem({key: 'servers/i-1', revision: 9, value: '////'}),
		Error,
	);
});

test('a server entry carries the start time of its process', () => {
	const decoded = decodeItem({
		key: 'servers/i-1',
		revision: 9,
		value: encode({...entry, born: 1_764_720_000_123}),
	});
	assert.strictEqual(decoded?.value?.kind, 'server');
	assert.equal(decoded.value.server.startedAt, 1_764_720_000_123);
});
