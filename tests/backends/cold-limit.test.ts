import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	coldShare,
	isWithinColdShare,
	maximumColdSenders,
	type ColdBound,
} from '../../src/backends/index.ts';
import {createNodeOrder} from '../../src/shared/index.ts';

const bound = {requestsPerSecond: 9.7, overrun: 1.5, slack: 3};
const totalBound = bound.requestsPerSecond * bound.overrun + bound.slack;

const nodesOf = (count: number) =>
	Array.from({length: count}, (_, index) => `node-${index}`);

const shareOf = (
	given: ColdBound,
	server: string,
	self: string,
	nodes: readonly string[],
): number => {
	const {rank} = createNodeOrder(self, () => nodes);
	return coldShare(given, rank(server), nodes.length);
};

test('the shares of any number of nodes stay within the bound', () => {
	fc.assert(
		fc.property(fc.integer({min: 1, max: 60}), fc.uuid(), (count, server) => {
			const nodes = nodesOf(count);
			const sum = nodes.reduce(
				(total, node) => total + shareOf(bound, server, node, nodes),
				0,
			);
			assert.ok(sum > 0);
			assert.ok(sum <= totalBound);
		}),
	);
});

test('the bound holds while the other nodes do not know one node yet', () => {
	fc.assert(
		fc.property(fc.integer({min: 2, max: 20}), fc.uuid(), (count, server) => {
			const all = nodesOf(count + 1);
			const others = all.slice(0, count);
			const sum =
				shareOf(bound, server, all[count]!, all) +
				others.reduce(
					(total, node) => total + shareOf(bound, server, node, others),
					0,
				);
			assert.ok(sum <= totalBound, `${sum} of ${totalBound}`);
		}),
	);
});

test('a cold server with a bound of a few requests per second gets some requests from any number of nodes', () => {
	fc.assert(
		fc.property(
			fc.integer({min: 1, max: 380}),
			fc.uuid(),
			fc.double({min: 0.5, max: 6, noNaN: true}),
			fc.integer({min: 0, max: 3}),
			(count, server, requestsPerSecond, slack) => {
				const small = {requestsPerSecond, overrun: 1.5, slack};
				const allowed = requestsPerSecond * 1.5 + slack;
				const nodes = nodesOf(count);
				const sum = nodes.reduce(
					(total, node) => total + shareOf(small, server, node, nodes),
					0,
				);
				assert.ok(sum <= allowed, `${sum} of ${allowed}`);
				assert.ok(allowed < 1 || sum > 0, `none of ${allowed}`);
			},
		),
	);
});

test('only the maximum number of senders send to one cold server', () => {
	const nodes = nodesOf(40);
	const senders = nodes.filter(
		(node) => shareOf(bound, 'server', node, nodes) > 0,
	);
	assert.equal(senders.length, maximumColdSenders);
});

test('a share counts the requests of a sliding window of one second', () => {
	assert.ok(isWithinColdShare([0, 100], 3, 900));
	assert.ok(!isWithinColdShare([0, 100, 200], 3, 900));
	assert.ok(isWithinColdShare([0, 100, 200], 3, 1200));
});
