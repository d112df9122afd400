import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	createNodeShares,
	settlingMs,
} from '../../../src/gateway/sharing/node-shares.ts';
import type {Mesh} from '../../../src/mesh/index.ts';
import {createWindowRetryBudget} from '../../../src/retries/index.ts';
import {memberOf} from '../../fixtures.ts';
import {serviceOf} from '../fixtures.ts';

const nodeOf = (index: number) => memberOf(`node-${index}`, 'zone');

// A node that has heard of the others named.
const sharesOf = (
	index: number,
	heardOf: readonly number[],
	now: () => number,
) =>
	createNodeShares({
		self: `node-${index}`,
		localRegion: 'region',
		regionOf: () => 'region',
		mesh: {
			others: () => heardOf.map((other) => nodeOf(other)),
			usableIn: () => heardOf.map((other) => nodeOf(other)),
		} as unknown as Mesh,
		clock: now,
	});

const slack = 60;

// What all nodes together take of the slack when each retries as often as it may.
const takenByAll = (
	views: ReadonlyArray<readonly number[]>,
	ageMs: number,
): number => {
	let now = 0;
	let taken = 0;
	const nodes = views.map((heardOf, index) => ({
		shares: sharesOf(index, heardOf, () => now),
		budget: createWindowRetryBudget({ratio: 0, windowMs: 10_000, slack}),
	}));
	now = ageMs;
	for (const {shares, budget} of nodes) {
		while (budget.tryTake('service', shares.retrySharingNodes(), now)) {
			taken += 1;
		}
	}

	return taken;
};

test('nodes that have just started do not use more than the slack, whoever they have heard of', () => {
	const views = fc.integer({min: 1, max: 70}).chain((count) =>
		fc.array(fc.array(fc.integer({min: 0, max: count - 1}), {maxLength: 5}), {
			minLength: count,
			maxLength: count,
		}),
	);
	fc.assert(
		fc.property(views, fc.integer({min: 0, max: settlingMs}), (all, age) => {
			assert.ok(takenByAll(all, age) <= slack);
		}),
	);
});

test('nodes that have heard of each other share the slack', () => {
	fc.assert(
		fc.property(fc.integer({min: 1, max: 70}), (count) => {
			const all = Array.from({length: count}, (_, index) => index);
			const views = all.map((self) => all.filter((other) => other !== self));
			assert.ok(takenByAll(views, settlingMs + 1) <= slack);
		}),
	);
});

test('all nodes together keep no more connections to a server than it takes, however many they are', () => {
	fc.assert(
		fc.property(
			fc.integer({min: 1, max: 380}),
			fc.integer({min: 10, max: 600}),
			fc.uuid(),
			(count, maximumConnections, server) => {
				const all = Array.from({length: count}, (_, index) => index);
				const service = serviceOf({maximumConnections});
				let kept = 0;
				for (const self of all) {
					const others = all.filter((other) => other !== self);
					const {maximum, isPersistent} = sharesOf(
						self,
						others,
						() => 0,
					).connectionsTo(service, server);
					assert.ok(maximum > 0);
					kept += isPersistent ? maximum : 0;
				}

				assert.ok(kept <= maximumConnections, `${kept} kept by ${count}`);
			},
		),
		{numRuns: 30},
	);
});
