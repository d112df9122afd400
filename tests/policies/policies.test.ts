import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	isInSlice,
	isScheduled,
	isSelected,
	evaluatePolicy,
	matchPolicy,
	maximumLabelLength,
	maximumLabels,
	orderedPolicies,
	parseLabels,
	slicePosition,
} from '../../src/policies/index.ts';
import {exampleConfiguration, policyWith} from '../fixtures.ts';

const kindOf = (text: string) =>
	parseLabels(text).match({Ok: () => 'ok', Err: ({kind}) => kind});

test('labels are parsed from a header', () => {
	assert.deepEqual(parseLabels('weight=heavy, desk=dispatch').unwrapOr({}), {
		weight: 'heavy',
		desk: 'dispatch',
	});
	assert.deepEqual(parseLabels(undefined).unwrapOr({a: 'b'}), {});
});

test('malformed, conflicting and oversized labels are rejected', () => {
	assert.equal(kindOf('weight'), 'bad-request');
	assert.equal(kindOf('a=1,a=2'), 'bad-request');
	assert.equal(kindOf('a=1,a=1'), 'ok');
	assert.equal(
		kindOf(`a=${'x'.repeat(maximumLabelLength + 1)}`),
		'labels-too-large',
	);
	assert.equal(
		kindOf(
			Array.from({length: maximumLabels + 1}, (_, index) => `k${index}=v`).join(
				',',
			),
		),
		'labels-too-large',
	);
});

test('selectors support equality, In, NotIn, Exists and DoesNotExist', () => {
	const selector = {
		matchLabels: {weight: 'heavy'},
		matchExpressions: [
			{operator: 'In', key: 'desk', values: ['dispatch', 'clerk']},
			{operator: 'NotIn', key: 'tier', values: ['free']},
			{operator: 'Exists', key: 'desk'},
			{operator: 'DoesNotExist', key: 'blocked'},
		],
	} as const;
	assert.ok(isSelected(selector, {weight: 'heavy', desk: 'clerk'}));
	assert.ok(!isSelected(selector, {weight: 'light', desk: 'clerk'}));
	assert.ok(!isSelected(selector, {weight: 'heavy', desk: 'other'}));
	assert.ok(
		!isSelected(selector, {weight: 'heavy', desk: 'clerk', tier: 'free'}),
	);
	assert.ok(
		!isSelected(selector, {weight: 'heavy', desk: 'clerk', blocked: 'yes'}),
	);
	assert.ok(!isSelected(selector, {weight: 'heavy'}));
});

test('a session belongs to exactly one of two complementary slices with the same salt', () => {
	fc.assert(
		fc.property(
			fc.string(),
			fc.string(),
			fc.integer({min: 0, max: 100}),
			(client, session, percent) => {
				const lower = {salt: 'trial', fromPercent: 0, untilPercent: percent};
				const upper = {salt: 'trial', fromPercent: percent, untilPercent: 100};
				const position = slicePosition('trial', client, session);
				assert.ok(position >= 0);
				assert.ok(position < 100);
				assert.notEqual(
					isInSlice(lower, client, session),
					isInSlice(upper, client, session),
				);
			},
		),
		{numRuns: 500},
	);
});

test('a slice receives approximately its configured share of sessions', () => {
	const sessions = Array.from(
		{length: 10_000},
		(_, index) => `session-${index}`,
	);
	const inside = sessions.filter((session) =>
		isInSlice(
			{salt: 'a', fromPercent: 20, untilPercent: 50},
			'client',
			session,
		),
	);
	assert.ok(
		inside.length > 2800 && inside.length < 3200,
		String(inside.length),
	);
});

test('schedules apply by day and hour, also across midnight', () => {
	const monday = Date.UTC(2026, 10, 30);
	const hour = 3_600_000;
	const morning = {days: ['mon'] as const, fromHourUtc: 8, untilHourUtc: 12};
	assert.ok(isScheduled(morning, monday + 9 * hour));
	assert.ok(!isScheduled(morning, monday + 12 * hour));
	assert.ok(!isScheduled(morning, monday + 33 * hour));
	assert.ok(
		isScheduled({fromHourUtc: 22, untilHourUtc: 2}, monday + 23 * hour),
	);
	assert.ok(isScheduled({fromHourUtc: 22, untilHourUtc: 2}, monday + hour));
	assert.ok(
		!isScheduled({fromHourUtc: 22, untilHourUtc: 2}, monday + 5 * hour),
	);
});

test('policies are ordered by priority, then by name, and verdicts give the reason', () => {
	const configuration = exampleConfiguration();
	const ordered = orderedPolicies(configuration);
	assert.deepEqual(
		ordered.map(({name}) => name),
		['heavy-drafts', 'light-home-first', 'light-two-choices', 'default'],
	);
	const subject = {
		labels: {weight: 'light'},
		clientName: 'organisers',
		session: 'a',
		wallClock: 0,
	};
	const matched = matchPolicy(ordered, subject)!;
	assert.ok(matched.name.startsWith('light'));
	assert.equal(evaluatePolicy(ordered[0]!, subject).verdict, 'labels-differ');
	const other = ordered.find(
		({name}) => name.startsWith('light') && name !== matched.name,
	)!;
	assert.equal(evaluatePolicy(other, subject).verdict, 'outside-slice');
	const closed = policyWith(
		{kind: 'round-robin'},
		{schedule: {fromHourUtc: 5, untilHourUtc: 6}},
	);
	assert.equal(evaluatePolicy(closed, subject).verdict, 'not-scheduled');
});
