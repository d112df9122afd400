import {test, type TestContext} from 'node:test';
import {createLogger} from '../../src/logging/index.ts';
import {createEraTracker} from '../../src/registry/era-tracker.ts';
import type {RegistryUpdate} from '../../src/registry/index.ts';

const changesAt = (revision: number, era?: number): RegistryUpdate => ({
	kind: 'changes',
	...(era !== undefined && {era}),
	revision,
	items: [],
});

const setUp = (isContradicted = false) =>
	createEraTracker(
		{isContradictedBy: () => isContradicted},
		createLogger('test', {}),
	);

const asked = {era: 3, revision: 10};

test('a later era that the registry states is used', (t: TestContext) => {
	t.assert.strictEqual(setUp().eraOf(changesAt(2, 7), asked), 7);
});

test('an answer at or after the requested position belongs to the same era', (t: TestContext) => {
	t.assert.strictEqual(setUp().eraOf(changesAt(10), asked), 3);
	t.assert.strictEqual(setUp().eraOf(changesAt(10, 3), asked), 3);
});

test('an answer before the requested position begins a new era, whether the registry states no era or the same one', (t: TestContext) => {
	t.assert.strictEqual(setUp().eraOf(changesAt(9), asked), 4);
	t.assert.strictEqual(setUp().eraOf(changesAt(9, 3), asked), 4);
});

test('a decrease of the stated era begins a new era, once', (t: TestContext) => {
	const eraTracker = setUp();
	t.assert.strictEqual(eraTracker.eraOf(changesAt(10, 3), asked), 3);
	t.assert.strictEqual(eraTracker.eraOf(changesAt(10, 1), asked), 4);
	t.assert.strictEqual(
		eraTracker.eraOf(changesAt(11, 1), {era: 4, revision: 10}),
		4,
	);
});

test('a snapshot that contradicts the known state begins a new era', (t: TestContext) => {
	const snapshot: RegistryUpdate = {kind: 'snapshot', revision: 12, items: []};
	t.assert.strictEqual(setUp(true).eraOf(snapshot, asked), 4);
	t.assert.strictEqual(setUp(false).eraOf(snapshot, asked), 3);
});

test('an era that other nodes reported before the registry is not counted twice', (t: TestContext) => {
	const eraTracker = setUp();
	eraTracker.eraOf(changesAt(5, 2), {era: 2, revision: 5});
	t.assert.strictEqual(eraTracker.eraOf(changesAt(10, 3), asked), 3);
});
