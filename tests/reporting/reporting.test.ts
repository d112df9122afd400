import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Objective} from '../../src/configuration/index.ts';
import {
	comparePolicies,
	createBurnTracker,
	createDurationHistogram,
	createRecorder,
	type RequestRecord,
} from '../../src/reporting/index.ts';

const anything = {matchLabels: {}, matchExpressions: []};
const objective: Objective = {
	name: 'answered',
	requests: anything,
	kind: 'availability',
	target: 0.99,
};

const record = (change: Partial<RequestRecord> = {}): RequestRecord => ({
	client: 'c',
	policy: 'p',
	labels: {},
	homeRegion: 'home',
	servedRegion: 'home',
	result: 'answered',
	firstTokenMs: 100,
	interTokenMs: 10,
	totalMs: 500,
	tokens: 100,
	cost: 0.1,
	at: 0,
	...change,
});

test('a report counts requests, answers, cost and the share served away, by policy, client and region', () => {
	const recorder = createRecorder('n');
	recorder.record(record(), [objective]);
	recorder.record(record({servedRegion: 'away'}), [objective]);
	recorder.record(
		record({
			result: 'overloaded',
			servedRegion: undefined,
			firstTokenMs: undefined,
			tokens: 0,
			cost: 0,
		}),
		[objective],
	);
	const {rows, burn} = recorder.report([objective], 0);
	assert.deepEqual(
		rows.map(({dimension, name}) => `${dimension}/${name}`),
		['policy/p', 'client/c', 'region/home'],
	);
	const [row] = rows;
	assert.equal(row!.requests, 3);
	assert.equal(row!.answered, 2);
	assert.equal(row!.away, 1);
	assert.equal(row!.errors.overloaded, 1);
	assert.ok(Math.abs(row!.firstToken.p99 - 100) < 2);
	assert.ok(Math.abs(burn[0]!.windows[0]!.burn - 100 / 3) < 0.01);
});

test('a fast burn requires high burn rates in the short and middle windows, and old minutes expire', () => {
	const tracker = createBurnTracker();
	const minute = 60_000;
	for (let at = 0; at < 60; at += 1) {
		tracker.record([objective], {
			labels: {},
			isAnswered: at % 4 !== 0,
			firstTokenMs: 1,
			at: at * minute,
		});
	}

	assert.equal(
		tracker.report([objective], 59 * minute)[0]!.verdict,
		'fast-burn',
	);
	const later = tracker.report([objective], 500 * minute)[0]!;
	assert.equal(later.verdict, 'ok');
	assert.equal(later.windows[0]!.requests, 0);
});

test('a first-token objective counts responses whose first token is late as bad', () => {
	const tracker = createBurnTracker();
	const late: Objective = {
		name: 'first',
		requests: anything,
		kind: 'first-token',
		target: 0.9,
		thresholdMs: 100,
	};
	tracker.record([late], {
		labels: {},
		isAnswered: true,
		firstTokenMs: 50,
		at: 0,
	});
	tracker.record([late], {
		labels: {},
		isAnswered: true,
		firstTokenMs: 150,
		at: 0,
	});
	assert.ok(
		Math.abs(tracker.report([late], 0)[0]!.windows[0]!.burn - 5) < 0.01,
	);
});

test('percentiles are accurate to about one percent', () => {
	const histogram = createDurationHistogram();
	for (let value = 1; value <= 1000; value += 1) {
		histogram.record(value);
	}

	const {p50, p99, count} = histogram.percentiles();
	assert.equal(count, 1000);
	assert.ok(Math.abs(p50 - 500) <= 8, String(p50));
	assert.ok(Math.abs(p99 - 990) <= 10, String(p99));
});

test('two policies are compared over all nodes, with the confidence of each difference', () => {
	const nodes = ['a', 'b'].map((name) => createRecorder(name));
	for (let index = 0; index < 400; index += 1) {
		const node = nodes[index % 2]!;
		const noise = (index * 7) % 40;
		node.record(record({policy: 'slow', firstTokenMs: 200 + noise}), []);
		node.record(
			record({
				policy: 'fast',
				firstTokenMs: 100 + noise,
				servedRegion: index % 20 < 2 ? 'away' : 'home',
			}),
			[],
		);
	}

	const reports = nodes.map((node) => node.report([], 0));
	const {first, second, differences} = comparePolicies(reports, [
		'slow',
		'fast',
	]);
	assert.equal(first.requests, 400);
	assert.ok(Math.abs(second.awayShare - 0.1) < 0.001);
	assert.ok(
		Math.abs(first.firstToken.p99 - 239) < 3,
		String(first.firstToken.p99),
	);
	const mean = differences.find(({measure}) => measure.startsWith('mean'))!;
	assert.ok(Math.abs(mean.difference + 100) < 2);
	// The normal distribution table of simple-statistics ends at 0.998.
	assert.ok(mean.confidence > 0.99);
	const answered = differences.find(
		({measure}) => measure === 'answered share',
	)!;
	assert.equal(answered.confidence, 0);
});

test('a policy that no node knows has empty statistics', () => {
	const {first} = comparePolicies(
		[createRecorder('a').report([], 0)],
		['x', 'y'],
	);
	assert.equal(first.requests, 0);
	assert.equal(first.firstToken.p99, 0);
});
