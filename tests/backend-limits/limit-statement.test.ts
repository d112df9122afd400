import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {
	addStatement,
	lowestStatement,
	type LimitStatement,
	type LimitStatements,
} from '../../src/backend-limits/index.ts';

const statementOf = (
	perSecond: number | undefined,
	earliest: number,
	latest: number,
): LimitStatement => ({perSecond, earliest, latest});

const limitAfter = (
	...statements: readonly LimitStatement[]
): number | undefined => {
	let known: LimitStatements = [];
	for (const statement of statements) {
		known = addStatement(known, statement);
	}

	return lowestStatement(known)?.perSecond;
};

const cases = [
	['a limit that falls', statementOf(10, 0, 10), statementOf(4, 20, 30), 4],
	['a limit that rises', statementOf(4, 0, 10), statementOf(10, 20, 30), 10],
	[
		'a limit that ends',
		statementOf(4, 0, 10),
		statementOf(undefined, 20, 30),
		undefined,
	],
	[
		'a limit that begins',
		statementOf(undefined, 0, 10),
		statementOf(4, 20, 30),
		4,
	],
	['an older answer', statementOf(10, 20, 30), statementOf(4, 0, 10), 10],
	[
		'a higher limit of the same time',
		statementOf(4, 0, 30),
		statementOf(10, 10, 40),
		4,
	],
	[
		'a lower limit of the same time',
		statementOf(10, 0, 30),
		statementOf(4, 10, 40),
		4,
	],
	[
		'no limit at the same time',
		statementOf(4, 0, 30),
		statementOf(undefined, 10, 40),
		4,
	],
] as const;

for (const [name, known, added, expected] of cases) {
	test(`${name}: ${expected ?? 'none'} is in effect`, (t: TestContext) => {
		t.assert.strictEqual(limitAfter(known, added), expected);
	});
}

test('responses that were in flight with those that stated a limit do not extend it after its end', (t: TestContext) => {
	const named = statementOf(4, 0, 30);
	const during = statementOf(undefined, 20, 200);
	t.assert.strictEqual(limitAfter(named, during), 4);
	t.assert.strictEqual(
		limitAfter(named, during, statementOf(undefined, 31, 60)),
		undefined,
	);
});

test('a higher limit takes effect when a concurrent lower one ends', (t: TestContext) => {
	const lower = statementOf(2, 0, 10);
	const higher = statementOf(9, 5, 200);
	t.assert.strictEqual(limitAfter(lower, higher), 2);
	t.assert.strictEqual(
		limitAfter(lower, higher, statementOf(undefined, 100, 210)),
		9,
	);
});

// The server creates its responses in this order. Requests are sent at any time before, and responses arrive at any time after.
const answers = fc.array(
	fc.record({
		perSecond: fc.constantFrom(undefined, 2, 5, 9),
		sentBefore: fc.nat(400),
		arrivesAfter: fc.nat(400),
	}),
	{minLength: 1, maxLength: 12},
);

test('with responses in any order, the limit is at most the one in the newest response received', (t: TestContext) => {
	fc.assert(
		fc.property(answers, (responses) => {
			const statements = responses
				.map(({perSecond, sentBefore, arrivesAfter}, index) =>
					statementOf(
						perSecond,
						index * 100 - sentBefore,
						index * 100 + arrivesAfter,
					),
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
				const effective = lowestStatement(known)?.perSecond ?? Infinity;
				t.assert.ok(effective <= (responses[newest]!.perSecond ?? Infinity));
			}
		}),
	);
});
