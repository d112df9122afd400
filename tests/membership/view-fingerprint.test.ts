import {test, type TestContext} from 'node:test';
import {viewFingerprint} from '../../src/membership/index.ts';
import {memberOf} from '../fixtures.ts';

const view = [memberOf('a1', 'a'), memberOf('b1', 'b'), memberOf('b2', 'b')];

test('the order of the members does not matter', (t: TestContext) => {
	t.assert.strictEqual(
		viewFingerprint(view.toReversed()),
		viewFingerprint(view),
	);
});

test('an additional member, a restart, a refutation and another status each change the fingerprint', (t: TestContext) => {
	const [first, ...others] = view;
	const views = [
		view,
		others,
		[...others, {...first!, incarnation: first!.incarnation + 1}],
		[...others, {...first!, revision: first!.revision + 1}],
		[...others, {...first!, status: 'dead' as const}],
	];
	t.assert.strictEqual(
		new Set(views.map((each) => viewFingerprint(each))).size,
		views.length,
	);
});
