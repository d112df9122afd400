import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	formatSettingFault,
	readSettings,
	serveSettings,
} from '../../src/settings/index.ts';

const valid = {
	QUILLFORD_NODE_ID: 'n1',
	QUILLFORD_AVAILABILITY_ZONE: 'z',
	QUILLFORD_CALLER_ADDRESS: '127.0.0.1:1',
	QUILLFORD_PEER_ADDRESS: '127.0.0.1:2',
	QUILLFORD_ADMINISTRATION_ADDRESS: '127.0.0.1:3',
	QUILLFORD_ADMINISTRATION_KEY: '0123456789abcdef',
	QUILLFORD_PEER_KEY: '0123456789abcdef',
	QUILLFORD_PLATFORM_ADDRESS: '127.0.0.1:4',
};

test('settings are read from variables, and flags take precedence', () => {
	const settings = readSettings(
		serveSettings,
		{nodeId: 'by-flag'},
		valid,
	).unwrapOr(undefined as never);
	assert.equal(settings.nodeId, 'by-flag');
	assert.equal(settings.callerAddress, '127.0.0.1:1');
	assert.equal(settings.maximumWaiting, 64);
	assert.deepEqual(settings.seedPeers, []);
});

test('lists and pairs of addresses are parsed', () => {
	const settings = readSettings(
		serveSettings,
		{
			seedPeers: '127.0.0.1:5, 127.0.0.1:6',
			addressTranslations: '10.0.0.1:1=127.0.0.1:9',
		},
		valid,
	).unwrapOr(undefined as never);
	assert.deepEqual(settings.seedPeers, ['127.0.0.1:5', '127.0.0.1:6']);
	assert.equal(settings.addressTranslations.get('10.0.0.1:1'), '127.0.0.1:9');
});

test('all faults are reported together, with flag, variable, value and allowed values', () => {
	const faults = readSettings(
		serveSettings,
		{logLevel: 'loud', maximumWaiting: '-1'},
		{...valid, QUILLFORD_NODE_ID: undefined, QUILLFORD_PEER_KEY: 'short'},
	).match({Ok: () => [], Err: (list) => list});
	assert.deepEqual(
		faults.map(({flag}) => flag),
		['--node-id', '--peer-key', '--log-level', '--maximum-waiting'],
	);
	const lines = faults.map((fault) => formatSettingFault(fault));
	assert.match(
		lines[0]!,
		/--node-id \(or QUILLFORD_NODE_ID\) is not set; allowed:/v,
	);
	assert.match(lines[2]!, /"loud" is not one of the choices/v);
	assert.ok(
		!lines[1]!.includes('short'),
		'a secret value appears in a message',
	);
});
