import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseSettings} from '../../platform/read-settings.ts';

const text = `node_name=edge-1
ip=10.1.0.35
zone=zone-a
region=region-a
zones.zone-a=region-a
zones.zone-b=region-b
listen.front=10.1.0.35:8144
listen.ready=10.1.0.35:8140
listen.control=10.1.0.35:8146
listen.directory=10.1.0.35:8143
internal_ports=7660,7675
seeds=10.1.0.35:8146,10.2.0.28:8146
platform.address=10.200.1.7:8142
bounds.retry_slack=58
some.new.field=x
`;

test('the settings file is parsed and unknown fields are ignored', () => {
	const settings = parseSettings(text);
	assert.ok(settings.isOk);
	assert.equal(settings.value.peerAddress, '10.1.0.35:7660');
	assert.equal(settings.value.bounds.retrySlack, 58);
	assert.deepEqual(settings.value.zones, {
		'zone-a': 'region-a',
		'zone-b': 'region-b',
	});
});

test('all invalid fields are reported together', () => {
	const invalidText = text
		.replace('node_name=edge-1\n', '')
		.replace('listen.front=10.1.0.35:8144', 'listen.front=nonsense');
	const settings = parseSettings(invalidText);
	assert.ok(settings.isErr);
	assert.match(settings.error, /node_name is missing/v);
	assert.match(settings.error, /listen\.front is not an IP address and port/v);
});
