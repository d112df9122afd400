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

// Creates the shares of a node that knows the given others.
const sharesOf = (
	index: number,
	knownOthers: readonly number[],
	now: () => number,
) =>
	createNodeShares({
		self: `node-${index}`,
		localRegion: 'region',
		regionOf: () => 'region',
		mesh: {
			others: () => knownOthers.map((other) => nodeOf(other)),
			usableIn: () => knownOthers.map((other) => nodeOf(other)),
		} as unknown as Mesh,
		clock: now,
	});

const slack = 60;

// Returns how much of the slack all nodes together use when each retries as often as it may.
const usedByAll = (
	views: ReadonlyArray<readonly number[]>,
	ageMs: number,
): number => {
	let now = 0;
	let used = 0;
	const nodes = views.map((knownOthers, index) => ({
		shares: sharesOf(index, knownOthers, () => now),
		budget: createWindowRetryBudget({ratio: 0, windowMs: 10_000, slack}),
	}));
	now = ageMs;
	for (const {shares, budget} of nodes) {
		while (budget.tryTake('service', shares.retrySharingNodes(), now)) {
			used += 1;
		}
	}

	return used;
};

test('nodes that have just started do not use more than the slack, whichever nodes they know', () => {
	const views = fc.integer({min: 1, max: 70}).chain((count) =>
		fc.array(fc.array(fc.integer({min: 0, max: count - 1}), {maxLength: 5}), {
			minLength: count,
			maxLength: count,
		}),
	);
	fc.assert(
		fc.property(views, fc.integer({min: 0, max: settlingMs}), (all, age) => {
			assert.ok(usedByAll(all, age) <= slack);
		}),
	);
});

test('nodes that know each other share the slack', () => {
	fc.assert(
		fc.property(fc.integer({min: 1, max: 70}), (count) => {
			const all = Array.from({length: count}, (_, index) => index);
			const views = all.map((self) => all.filter((other) => other !== self));
			assert.ok(usedByAll(views, settlingMs + 1) <= slack);
		}),
	);
});

test('all nodes together hold no more persistent connections to a server than it accepts', () => {
	fc.assert(
		fc.property(
			fc.integer({min: 1, max: 380}),
			fc.integer({min: 10, max: 600}),
			fc.uuid(),
			(count, maximumConnections, server) => {
				const all = Array.from({length: count}, (_, index) => index);
				const service = serviceOf({maximumConnections});
				let held = 0;
				for (const self of all) {
					const others = all.filter((other) => other !== self);
					const {maximum, isPersistent} = sharesOf(
						self,
						others,
						() => 0,
					).connectionShare(service, server);
					assert.ok(maximum > 0);
					held += isPersistent ? maximum : 0;
				}

				assert.ok(held <= maximumConnections, `${held} held by ${count}`);
			},
		),
		{numRuns: 30},
	);
});
