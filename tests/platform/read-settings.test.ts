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

test('what a node may use of its machine is read, and not stated by default', () => {
	const resources =
		'limits.cpu_share=0.675\nlimits.cores=2\nlimits.link_mbps=140.0\nlimits.memory_mb=350\nlimits.max_fds=4100\n';
	const settings = parseSettings(text + resources);
	assert.ok(settings.isOk);
	assert.equal(settings.value.processorCores, 1.35);
	assert.equal(settings.value.linkMbps, 140);
	assert.equal(settings.value.memoryMb, 350);
	assert.equal(settings.value.maximumDescriptors, 4100);
	const unstated = parseSettings(text);
	assert.ok(unstated.isOk);
	assert.equal(unstated.value.processorCores, undefined);
	assert.equal(unstated.value.linkMbps, undefined);
	assert.equal(unstated.value.memoryMb, undefined);
	assert.equal(unstated.value.maximumDescriptors, undefined);
});

for (const value of ['0', '-1', 'much', '']) {
	test(`a processor share of "${value}" is reported with its name and value`, () => {
		const settings = parseSettings(`${text}limits.cpu_share=${value}\n`);
		assert.ok(settings.isErr);
		assert.ok(
			settings.error.includes(
				`limits.cpu_share "${value}" is not a positive number`,
			),
		);
	});
}
