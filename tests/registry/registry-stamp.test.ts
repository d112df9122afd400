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

// A node at revision 20 of era 2 with version 7 of the routes.
const questionAfter = (
	change: Partial<RegistryStamp>,
	introducedEra?: number,
) => catchUpPosition({...stampOf(), era: 2}, stampOf(change), introducedEra);

test('a stamp comes back from its form in a heartbeat', (t: TestContext) => {
	const stamp = stampOf({isAheadOfRegistry: true});
	t.assert.deepStrictEqual(
		decodeRegistryStamp(encodeRegistryStamp(stamp)),
		stamp,
	);
});

for (const digest of ['', 'abc', '1.2', '-1.2.0', '1.2.0.3']) {
	test(`a stamp with the digest "${digest}" states its revision only`, (t: TestContext) => {
		t.assert.deepStrictEqual(decodeRegistryStamp({version: 9, digest}), {
			era: undefined,
			revision: 9,
			routesVersion: 0,
			isBeyondRegistry: false,
		});
	});
}

test('a heartbeat of an earlier era, or of none, with a later revision is not followed', (t: TestContext) => {
	t.assert.strictEqual(questionAfter({era: 1, revision: 90}), undefined);
	t.assert.strictEqual(
		questionAfter({era: undefined, revision: 90}),
		undefined,
	);
});

test('a heartbeat of a later era with an earlier revision is followed', (t: TestContext) => {
	t.assert.deepStrictEqual(questionAfter({era: 3, revision: 1}), {
		era: 2,
		revision: 20,
	});
});

test('a node with later routes, of whatever era, is asked for everything', (t: TestContext) => {
	const everything = {era: 0, revision: 0};
	t.assert.deepStrictEqual(
		questionAfter({era: 1, routesVersion: 8}),
		everything,
	);
	t.assert.strictEqual(questionAfter({routesVersion: 7}), undefined);
});

test('a node that holds to what the registry lost is asked once an era', (t: TestContext) => {
	const everything = {era: 0, revision: 0};
	t.assert.deepStrictEqual(
		questionAfter({isAheadOfRegistry: true}, 1),
		everything,
	);
	t.assert.strictEqual(questionAfter({isAheadOfRegistry: true}, 2), undefined);
});
