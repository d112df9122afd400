import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {copyFileSync, mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {exampleText} from '../fixtures.ts';

// The binary runs in a folder without the repository, so that missing files in the bundle show up.
const folder = mkdtempSync(path.join(tmpdir(), 'quillford-binary-'));
const binary = path.join(folder, 'quillford');
copyFileSync('dist/quillford', binary);
writeFileSync(path.join(folder, 'good.yaml'), exampleText('lindner'));
writeFileSync(
	path.join(folder, 'bad.yaml'),
	exampleText('lindner').replace('kind: plain', 'kind: other'),
);

const run = (...args: readonly string[]) =>
	spawnSync(binary, args, {cwd: folder, encoding: 'utf8', env: {}});

test('the version and the help with examples are printed', () => {
	assert.match(run('--version').stdout, /^\d+\.\d+\.\d+/v);
	assert.match(
		run('check', '--help').stdout,
		/quillford check configuration.yaml/v,
	);
});

test('check prints path, fault and remedy, and exits with 1', () => {
	const good = run('check', 'good.yaml');
	assert.equal(good.status, 0);
	assert.match(good.stdout, /version 1 is valid/v);
	const bad = run('check', 'bad.yaml');
	assert.equal(bad.status, 1);
	assert.match(bad.stderr, /bad\.yaml: services\.1\.kind: .+; .+/v);
	assert.equal(run('check', 'missing.yaml').status, 2);
});

test('explain evaluates a configuration file', () => {
	const answer = run(
		'explain',
		'--file',
		'good.yaml',
		'--labels',
		'weight=heavy',
		'--model',
		'dispatch-8b',
	);
	assert.equal(answer.status, 0);
	assert.match(answer.stdout, /policy: plans/v);
	assert.equal(
		run('explain', '--file', 'good.yaml', '--model', 'none').status,
		1,
	);
});

test('invalid arguments exit with 2 and missing settings are listed', () => {
	assert.equal(run('nonsense').status, 2);
	const serve = run('serve', '--caller-address', 'here');
	assert.equal(serve.status, 2);
	assert.match(
		serve.stderr,
		/--caller-address \(or QUILLFORD_CALLER_ADDRESS\) "here" is not an IP address and port/v,
	);
	assert.match(serve.stderr, /--peer-key/v);
	assert.equal(run('report').status, 2);
	assert.equal(
		run(
			'drain',
			'--administration-address',
			'127.0.0.1:1',
			'--administration-key',
			'k',
		).status,
		1,
	);
});
