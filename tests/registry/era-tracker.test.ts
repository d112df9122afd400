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

test('a later era that the registry states counts', (t: TestContext) => {
	t.assert.strictEqual(setUp().eraOf(changesAt(2, 7), asked), 7);
});

test('an answer at or after the position it was asked at is of the same era', (t: TestContext) => {
	t.assert.strictEqual(setUp().eraOf(changesAt(10), asked), 3);
	t.assert.strictEqual(setUp().eraOf(changesAt(10, 3), asked), 3);
});

test('an earlier answer begins an era, whether the registry states none or the same one', (t: TestContext) => {
	t.assert.strictEqual(setUp().eraOf(changesAt(9), asked), 4);
	t.assert.strictEqual(setUp().eraOf(changesAt(9, 3), asked), 4);
});

test('a stated era that falls begins an era, once', (t: TestContext) => {
	const answerEra = setUp();
	t.assert.strictEqual(answerEra.eraOf(changesAt(10, 3), asked), 3);
	t.assert.strictEqual(answerEra.eraOf(changesAt(10, 1), asked), 4);
	t.assert.strictEqual(
		answerEra.eraOf(changesAt(11, 1), {era: 4, revision: 10}),
		4,
	);
});

test('a whole answer that contradicts what was known begins an era', (t: TestContext) => {
	const whole: RegistryUpdate = {kind: 'snapshot', revision: 12, items: []};
	t.assert.strictEqual(setUp(true).eraOf(whole, asked), 4);
	t.assert.strictEqual(setUp(false).eraOf(whole, asked), 3);
});

test('an era that other nodes told before the registry did is not counted twice', (t: TestContext) => {
	const answerEra = setUp();
	answerEra.eraOf(changesAt(5, 2), {era: 2, revision: 5});
	t.assert.strictEqual(answerEra.eraOf(changesAt(10, 3), asked), 3);
});
