import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {
	addStatement,
	lowestStatement,
	type LimitStatement,
	type LimitStatements,
} from '../../src/backend-limits/index.ts';

const said = (
	perSecond: number | undefined,
	earliest: number,
	latest: number,
): LimitStatement => ({perSecond, earliest, latest});

const after = (
	...statements: readonly LimitStatement[]
): number | undefined => {
	let known: LimitStatements = [];
	for (const statement of statements) {
		known = addStatement(known, statement);
	}

	return lowestStatement(known)?.perSecond;
};

const cases = [
	['a limit that falls', said(10, 0, 10), said(4, 20, 30), 4],
	['a limit that rises', said(4, 0, 10), said(10, 20, 30), 10],
	['a limit that ends', said(4, 0, 10), said(undefined, 20, 30), undefined],
	['a limit that begins', said(undefined, 0, 10), said(4, 20, 30), 4],
	['an older answer', said(10, 20, 30), said(4, 0, 10), 10],
	['a higher limit of the same time', said(4, 0, 30), said(10, 10, 40), 4],
	['a lower limit of the same time', said(10, 0, 30), said(4, 10, 40), 4],
	['no limit at the same time', said(4, 0, 30), said(undefined, 10, 40), 4],
] as const;

for (const [name, known, given, holds] of cases) {
	test(`${name}: ${holds ?? 'none'} holds`, (t: TestContext) => {
		t.assert.strictEqual(after(known, given), holds);
	});
}

test('a limit that has ended is not kept up by answers that were under way with those that named it', (t: TestContext) => {
	const named = said(4, 0, 30);
	const during = said(undefined, 20, 200);
	t.assert.strictEqual(after(named, during), 4);
	t.assert.strictEqual(
		after(named, during, said(undefined, 31, 60)),
		undefined,
	);
});

test('a limit is found again under a lower one that ends', (t: TestContext) => {
	const lower = said(2, 0, 10);
	const higher = said(9, 5, 200);
	t.assert.strictEqual(after(lower, higher), 2);
	t.assert.strictEqual(after(lower, higher, said(undefined, 100, 210)), 9);
});

// The server makes its answers in this order; they are sent, and come, at any time before and after.
const answers = fc.array(
	fc.record({
		perSecond: fc.constantFrom(undefined, 2, 5, 9),
		sentBefore: fc.nat(400),
		comesAfter: fc.nat(400),
	}),
	{minLength: 1, maxLength: 12},
);

test('whatever overtakes what, no more holds than the newest answer that has come allows', (t: TestContext) => {
	fc.assert(
		fc.property(answers, (made) => {
			const statements = made
				.map(({perSecond, sentBefore, comesAfter}, index) =>
					said(perSecond, index * 100 - sentBefore, index * 100 + comesAfter),
				)
				.map((statement, index) => ({statement, index}))
				.toSorted(
					(left, right) => left.statement.latest - right.statement.latest,
				);
			let known: LimitStatements = [];
			let newest = -1;
			for (const {statement, index} of statements) {
				newest = Math.max(newest, index);
				known = addStatement(known, statement);
				const holds = lowestStatement(known)?.perSecond ?? Infinity;
				t.assert.ok(holds <= (made[newest]!.perSecond ?? Infinity));
			}
		}),
	);
});
