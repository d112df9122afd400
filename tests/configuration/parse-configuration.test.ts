import {Buffer} from 'node:buffer';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	maximumDocumentBytes,
	parseConfiguration,
} from '../../src/configuration/index.ts';
import {exampleText} from '../fixtures.ts';

const faultsOf = (text: string) =>
	parseConfiguration(text).match({Ok: () => [], Err: (faults) => faults});

test('both example configurations are valid', () => {
	assert.equal(faultsOf(exampleText('ajoke')).length, 0);
	assert.equal(faultsOf(exampleText('lindner')).length, 0);
});

test('all unresolved references are reported together, with path and remedy', () => {
	const text = exampleText('ajoke')
		.replace('service: quill-scribes', 'service: nobody')
		.replace('residency: [abuja]', 'residency: [atlantis]');
	const faults = faultsOf(text);
	assert.deepEqual(
		faults.map(({path}) => path),
		['backendServers.0.service', 'clients.2.residency'],
	);
	assert.ok(faults.every(({remedy}) => remedy.length > 0));
});

test('a text that is neither YAML nor JSON is a fault of the document', () => {
	assert.equal(faultsOf('{"version": 1')[0]?.path, '(document)');
	assert.equal(faultsOf('a: [1')[0]?.path, '(document)');
});

test('an unknown key is a fault', () => {
	assert.match(
		faultsOf(`${exampleText('ajoke')}\nextra: 1\n`)[0]!.fault,
		/extra/v,
	);
});

test('duplicate names are faults', () => {
	const faults = faultsOf(
		exampleText('ajoke').replace('name: petitioners', 'name: organisers'),
	);
	assert.match(faults[0]!.fault, /organisers.*more than once/v);
});

test('an empty slice and an objective without a threshold are faults', () => {
	const text = exampleText('ajoke')
		.replace(
			'fromPercent: 0, untilPercent: 50',
			'fromPercent: 50, untilPercent: 50',
		)
		.replace('    thresholdMs: 760\n', '');
	assert.deepEqual(
		faultsOf(text).map(({path}) => path),
		['policies.1.slice', 'objectives.1.thresholdMs'],
	);
});

test('a document of the maximum size is accepted, and one byte more is rejected', () => {
	const text = exampleText('ajoke');
	const atLimit =
		text + ' '.repeat(maximumDocumentBytes - Buffer.byteLength(text));
	assert.equal(faultsOf(atLimit).length, 0);
	assert.match(faultsOf(`${atLimit} `)[0]!.fault, /bytes long/v);
});
