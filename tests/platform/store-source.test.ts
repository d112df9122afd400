import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {createStoreSource} from '../../platform/store-source.ts';
import {
	createRegistryMirror,
	type RegistrySource,
} from '../../src/registry/index.ts';
import {closeServer} from '../../src/shared/index.ts';
import {freeAddress} from '../../stand-ins/free-address.ts';
import {listenAt, sendJson} from '../../stand-ins/http-server.ts';

const encode = (value: unknown) =>
	Buffer.from(JSON.stringify(value)).toString('base64');

const validEntry = encode({
	service: 'engine',
	address: '10.0.0.1:8080',
	zone: 'zone-a',
	slots: 64,
	state: 'ready',
});

const startStore = async (
	t: TestContext,
	values: () => readonly string[],
	lines: unknown[] = [],
) => {
	const record = (...line: unknown[]) => {
		lines.push(line);
	};

	const logger = {debug: record, info: record, warn: record, error: record};
	const address = await freeAddress();
	const store = createServer((_request, response) => {
		const items = values().map((value, index) => ({
			key: `servers/i-${index}`,
			revision: index + 1,
			value,
		}));
		sendJson(response, 200, {items, truncated: false, as_of: 1000});
	});
	await listenAt(store, address);
	const source = createStoreSource(address, logger);
	t.after(async () => {
		await source.close();
		await closeServer(store);
	});
	return source;
};

const serversOf = async (
	source: RegistrySource,
): Promise<readonly string[]> => {
	const mirror = createRegistryMirror();
	const answer = await source.snapshot();
	if (answer.kind === 'snapshot') {
		mirror.apply(answer, 0, 'registry');
	}

	return [...mirror.servers().keys()];
};

test('an arbitrary value in one entry does not affect the other entries', async (t: TestContext) => {
	let garbage = '';
	const source = await startStore(t, () => [validEntry, garbage, validEntry]);
	const anything = fc.oneof(
		fc.uint8Array().map((bytes) => Buffer.from(bytes).toString('base64')),
		fc.jsonValue().map((json) => encode(json)),
		fc.string(),
	);
	const observed = new Set<string>();
	for (const value of fc.sample(anything, {seed: 24, numRuns: 200})) {
		garbage = value;
		observed.add((await serversOf(source)).join(' '));
	}

	t.assert.strictEqual([...observed].join(', '), 'i-0 i-2');
});

test('an undecodable entry is logged once, without its content', async (t: TestContext) => {
	const lines: unknown[] = [];
	const secret = Buffer.from('{"api_keys": ["secret-key" oops').toString(
		'base64',
	);
	const source = await startStore(t, () => [secret], lines);
	await serversOf(source);
	await serversOf(source);
	t.assert.strictEqual(lines.length, 1);
	t.assert.doesNotMatch(JSON.stringify(lines), /secret/v);
});

const startPagedStore = async (
	t: TestContext,
	pages: ReadonlyArray<{readonly era?: string; readonly revision: number}>,
) => {
	const address = await freeAddress();
	let next = 0;
	const store = createServer((_request, response) => {
		const {era, revision} = pages[next]!;
		next += 1;
		if (era !== undefined) {
			response.setHeader('Store-Era', era);
		}

		sendJson(response, 200, {
			items: [{key: `servers/i-${next}`, revision: next, value: validEntry}],
			truncated: next < pages.length,
			events: [],
			as_of: revision,
		});
	});
	await listenAt(store, address);
	const ignore = () => undefined;
	const source = createStoreSource(address, {
		debug: ignore,
		info: ignore,
		warn: ignore,
		error: ignore,
	});
	t.after(async () => {
		await source.close();
		await closeServer(store);
	});
	return source;
};

const eras = [
	{name: 'a whole number', header: '7', era: 7},
	{name: 'no header', header: undefined, era: undefined},
	{name: 'text', header: 'seven', era: undefined},
	{name: 'a negative number', header: '-1', era: undefined},
] as const;

for (const {name, header, era} of eras) {
	test(`the era header of the store is parsed: ${name}`, async (t: TestContext) => {
		const page = {revision: 4, ...(header !== undefined && {era: header})};
		const source = await startPagedStore(t, [page, page]);
		const answer = await source.snapshot();
		t.assert.strictEqual('era' in answer ? answer.era : undefined, era);
	});
}

test('the era header is parsed for changes as well', async (t: TestContext) => {
	const source = await startPagedStore(t, [{era: '3', revision: 4}]);
	t.assert.deepStrictEqual(await source.changes(1, 0), {
		kind: 'changes',
		era: 3,
		revision: 4,
		items: [],
	});
});

for (const [name, second] of [
	['era', {era: '2', revision: 9}],
	['revision', {era: '1', revision: 3}],
] as const) {
	test(`pages from before and after a restore of the store are not combined: ${name} changed`, async (t: TestContext) => {
		const source = await startPagedStore(t, [{era: '1', revision: 4}, second]);
		const answer = await source.snapshot();
		t.assert.strictEqual(answer.kind, 'unavailable');
	});
}
