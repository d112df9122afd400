import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {createRandom} from '../../src/shared/index.ts';
import {
	nodeCount,
	playRollout,
	zoneCount,
	type RolloutStep,
} from './rollout-model.ts';

const nodes = fc.nat(nodeCount - 1);
const zones = fc.nat(zoneCount - 1);
const steps: fc.Arbitrary<RolloutStep> = fc.oneof(
	{weight: 4, arbitrary: fc.record({kind: fc.constant('begin'), node: nodes})},
	{
		weight: 4,
		arbitrary: fc.record({kind: fc.constant('take-up'), node: nodes}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			kind: fc.constant('pass'),
			ms: fc.integer({min: 1, max: 600}).map((ms) => ms * 5),
		}),
	},
	fc.record({
		kind: fc.constant('replace'),
		server: fc.nat(3),
		version: fc.constantFrom('v1', 'v2', 'v3'),
	}),
	fc.record({kind: fc.constant('restart'), node: nodes}),
	fc.record({kind: fc.constantFrom('cut', 'heal'), zone: zones}),
	fc.record({kind: fc.constantFrom('isolate', 'rejoin'), node: nodes}),
);

test('in any order of rollouts, restarts, cuts and old copies of the registry, no stream is joined from two versions', (t: TestContext) => {
	const seen = {bound: 0, any: 0, impossible: 0};
	fc.assert(
		fc.property(
			fc.array(steps, {minLength: 10, maxLength: 80}),
			fc.nat(),
			fc.constantFrom(0, 0.2),
			(played, seed, loss) => {
				const takenUp = playRollout(t, played, createRandom(seed), loss);
				for (const {kind, isJoined, isBeyondCopy} of takenUp) {
					seen[kind] += 1;
					// Without a record, a node cannot know of a version that it has not read of.
					t.assert.ok(!isJoined || isBeyondCopy, kind);
				}
			},
		),
		{numRuns: 150},
	);
	t.assert.ok(seen.bound > 0 && seen.impossible > 0);
});

test('a node that did not read the registry for a while does not conclude that there is one version', (t: TestContext) => {
	const takenUp = playRollout(
		t,
		[
			{kind: 'isolate', node: 7},
			{kind: 'replace', server: 0, version: 'v2'},
			{kind: 'replace', server: 1, version: 'v2'},
			{kind: 'replace', server: 2, version: 'v2'},
			{kind: 'replace', server: 3, version: 'v2'},
			{kind: 'pass', ms: 8000},
			{kind: 'cut', zone: 0},
			{kind: 'begin', node: 0},
			{kind: 'replace', server: 0, version: 'v1'},
			{kind: 'replace', server: 1, version: 'v1'},
			{kind: 'replace', server: 2, version: 'v1'},
			{kind: 'replace', server: 3, version: 'v1'},
			{kind: 'rejoin', node: 7},
			{kind: 'pass', ms: 1000},
			{kind: 'take-up', node: 7},
		],
		createRandom(1),
		0,
	);
	t.assert.deepStrictEqual(
		takenUp.map(({kind}) => kind),
		['impossible'],
	);
});
