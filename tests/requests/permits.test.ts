import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	createPermits,
	parsePermit,
	permitRetentionMs,
	type Permits,
} from '../../src/requests/index.ts';

const create = (node: string, epoch: string) =>
	createPermits<string>({node, epoch, secret: `${node}-${epoch}`});
const useOf = (
	requestId: string,
	clientName = 'client',
	bodyDigest = 'body',
) => ({requestId, clientName, bodyDigest});

test('an id runs once; repeated uses get the stored answer', () => {
	const permits = create('a', '01');
	const id = permits.issue(0);
	assert.equal(permits.redeem(useOf(id), 1).kind, 'run');
	permits.attach(id, 'kept');
	assert.deepEqual(permits.redeem(useOf(id), 2), {
		kind: 'repeat',
		record: {kind: 'running', answer: 'kept'},
	});
	permits.end(id, 'ran', 'kept');
	assert.deepEqual(permits.redeem(useOf(id), 3), {
		kind: 'repeat',
		record: {kind: 'ended', outcome: 'ran', answer: 'kept'},
	});
});

test('an id whose request did not run can be used again', () => {
	const permits = create('a', '01');
	const id = permits.issue(0);
	permits.redeem(useOf(id), 1);
	permits.end(id, 'not-run', undefined);
	assert.equal(permits.redeem(useOf(id), 2).kind, 'run');
});

test('another client or another body under the same id is a conflict', () => {
	const permits = create('a', '01');
	const id = permits.issue(0);
	permits.redeem(useOf(id), 1);
	assert.equal(permits.redeem(useOf(id, 'another'), 2).kind, 'conflict');
	assert.equal(
		permits.redeem(useOf(id, 'client', 'another'), 2).kind,
		'conflict',
	);
});

test('ids of other nodes, ids of earlier processes, expired ids and forged ids are never run', () => {
	const permits = create('a', '02');
	assert.equal(
		permits.redeem(useOf(create('b', '01').issue(0)), 1).kind,
		'elsewhere',
	);
	assert.equal(
		permits.redeem(useOf(create('a', '01').issue(0)), 1).kind,
		'forgotten',
	);
	const old = permits.issue(0);
	assert.equal(permits.redeem(useOf(old), permitRetentionMs).kind, 'forgotten');
	const forged = `${permits.issue(0).slice(0, -16)}0000000000000000`;
	assert.equal(permits.redeem(useOf(forged), 1).kind, 'not-issued');
	assert.equal(permits.redeem(useOf('anything'), 1).kind, 'not-issued');
	assert.equal(parsePermit('anything'), undefined);
});

test('an expired use is not run again, even after its record was removed', () => {
	const permits = create('a', '01');
	const id = permits.issue(0);
	permits.redeem(useOf(id), 1);
	permits.end(id, 'ran', 'kept');
	permits.redeem(
		useOf(permits.issue(permitRetentionMs * 3)),
		permitRetentionMs * 3,
	);
	assert.equal(permits.size(), 1);
	assert.equal(
		permits.redeem(useOf(id), permitRetentionMs * 3).kind,
		'forgotten',
	);
});

// Model: three nodes; submissions, ends, restarts and waits in any order.
type Step =
	| {readonly kind: 'submit'; readonly node: number; readonly id: number}
	| {
			readonly kind: 'end';
			readonly outcome: 'ran' | 'not-run' | 'unknown';
			readonly id: number;
	  }
	| {readonly kind: 'restart'; readonly node: number}
	| {readonly kind: 'wait'; readonly ms: number};

test('in any order of submissions, ends, restarts and waits, no id runs twice', () => {
	const node = fc.integer({min: 0, max: 2});
	const id = fc.integer({min: 0, max: 5});
	const step: fc.Arbitrary<Step> = fc.oneof(
		{
			weight: 6,
			arbitrary: fc.record({kind: fc.constant('submit' as const), node, id}),
		},
		{
			weight: 3,
			arbitrary: fc.record({
				kind: fc.constant('end' as const),
				outcome: fc.constantFrom('ran', 'not-run', 'unknown'),
				id,
			}),
		},
		{
			weight: 1,
			arbitrary: fc.record({kind: fc.constant('restart' as const), node}),
		},
		{
			weight: 1,
			arbitrary: fc.record({
				kind: fc.constant('wait' as const),
				ms: fc.integer({min: 0, max: permitRetentionMs}),
			}),
		},
	);
	fc.assert(
		fc.property(fc.array(step, {maxLength: 60}), (steps) => {
			let epoch = 0;
			let now = 0;
			const nodes: Array<Permits<string>> = ['a', 'b', 'c'].map((name) =>
				create(name, '00'),
			);
			const ids = Array.from({length: 6}, (_, index) =>
				nodes[index % 3]!.issue(now),
			);
			const runs = new Map<string, number>();
			for (const one of steps) {
				switch (one.kind) {
					case 'submit': {
						const requestId = ids[one.id]!;
						const redemption = nodes[one.node]!.redeem(useOf(requestId), now);
						if (redemption.kind === 'run') {
							runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
							nodes[one.node]!.attach(requestId, 'kept');
						}

						break;
					}

					case 'end': {
						const requestId = ids[one.id]!;
						nodes[one.id % 3]!.end(requestId, one.outcome, 'kept');
						if (one.outcome === 'not-run') {
							runs.set(requestId, 0);
						}

						break;
					}

					case 'restart': {
						epoch += 1;
						nodes[one.node] = create(
							['a', 'b', 'c'][one.node]!,
							epoch.toString(16).padStart(2, '0'),
						);
						break;
					}

					case 'wait': {
						now += one.ms;
						break;
					}
				}

				assert.ok([...runs.values()].every((count) => count <= 1));
			}
		}),
		{numRuns: 3000},
	);
});
