import {test, type TestContext} from 'node:test';
import {catchUpPosition} from '../../src/registry/catch-up-position.ts';
import {
	decodeRegistryStamp,
	encodeRegistryStamp,
	type RegistryStamp,
} from '../../src/registry/index.ts';

const stampOf = (change: Partial<RegistryStamp> = {}): RegistryStamp => ({
	era: 2,
	revision: 20,
	routesVersion: 7,
	isAheadOfRegistry: false,
	...change,
});

// The position from which a node at revision 20 of era 2, with version 7 of the routes, requests changes.
const positionAfter = (
	change: Partial<RegistryStamp>,
	introducedEra?: number,
) => catchUpPosition({...stampOf(), era: 2}, stampOf(change), introducedEra);

test('a stamp survives encoding and decoding', (t: TestContext) => {
	const stamp = stampOf({isAheadOfRegistry: true});
	t.assert.deepStrictEqual(
		decodeRegistryStamp(encodeRegistryStamp(stamp)),
		stamp,
	);
});

for (const digest of ['', 'abc', '1.2', '-1.2.0', '1.2.0.3']) {
	test(`a stamp with the digest "${digest}" yields its revision only`, (t: TestContext) => {
		t.assert.deepStrictEqual(decodeRegistryStamp({version: 9, digest}), {
			era: undefined,
			revision: 9,
			routesVersion: 0,
			isAheadOfRegistry: false,
		});
	});
}

test('a stamp of an earlier era, or of no era, with a later revision causes no request', (t: TestContext) => {
	t.assert.strictEqual(positionAfter({era: 1, revision: 90}), undefined);
	t.assert.strictEqual(
		positionAfter({era: undefined, revision: 90}),
		undefined,
	);
});

test('a stamp of a later era with an earlier revision causes a request for changes', (t: TestContext) => {
	t.assert.deepStrictEqual(positionAfter({era: 3, revision: 1}), {
		era: 2,
		revision: 20,
	});
});

test('a node with later routes, of any era, is asked for a full read', (t: TestContext) => {
	const everything = {era: 0, revision: 0};
	t.assert.deepStrictEqual(
		positionAfter({era: 1, routesVersion: 8}),
		everything,
	);
	t.assert.strictEqual(positionAfter({routesVersion: 7}), undefined);
});

test('a node that is ahead of the registry is asked for a full read once per era', (t: TestContext) => {
	const everything = {era: 0, revision: 0};
	t.assert.deepStrictEqual(
		positionAfter({isAheadOfRegistry: true}, 1),
		everything,
	);
	t.assert.strictEqual(positionAfter({isAheadOfRegistry: true}, 2), undefined);
});
