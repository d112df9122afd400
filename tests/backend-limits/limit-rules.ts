import {
	createBackendLimits,
	createSenderNodes,
	type LimitShare,
} from '../../src/backend-limits/index.ts';
import {createTokenBucket} from '../../src/backend-limits/token-bucket.ts';
import {silentLogger} from '../../src/logging/index.ts';
import type {LimitNode, LimitRule} from './limit-model.ts';

/**
The rule of the product.
*/
export const createSharedRule = (node: LimitNode): LimitRule => {
	const {peers, reachableFraction} = createSenderNodes({
		others: node.others,
		sharesServers: () => true,
		lastReceivedAt: node.lastHeard,
		clock: node.clock,
	});
	return createBackendLimits({
		...node,
		peers,
		reachableFraction,
		without: new Set(),
		logger: silentLogger,
	});
};

// A node takes what its own answers say, and nothing else.
const createLonelyRule = (
	shareOf: (perSecond: number) => LimitShare,
	clock: () => number,
): LimitRule => {
	let limit: number | undefined;
	const bucket = createTokenBucket(clock());
	return {
		recordStatement(_life, {perSecond}) {
			limit = perSecond;
		},
		receive: () => undefined,
		canSend(_life, now) {
			if (limit === undefined) {
				return true;
			}

			bucket.fill(shareOf(limit), now);
			return bucket.canTake();
		},
		recordSend() {
			if (limit !== undefined) {
				bucket.take();
			}
		},
		tick: () => undefined,
	};
};

/**
Each node keeps the whole limit by itself.
*/
export const createUncoordinatedRule = ({clock}: LimitNode): LimitRule =>
	createLonelyRule(
		(perSecond) => ({perSecond, burst: Math.max(1, perSecond)}),
		clock,
	);

/**
Each node keeps an equal part of the limit.
*/
export const createEqualRule = ({others, clock}: LimitNode): LimitRule =>
	createLonelyRule((perSecond) => {
		const own = perSecond / (others().length + 1);
		return {perSecond: own, burst: Math.max(1, own)};
	}, clock);

/**
Nothing is read.
*/
export const createNoRule = (): LimitRule => ({
	recordStatement: () => undefined,
	receive: () => undefined,
	canSend: () => true,
	recordSend: () => undefined,
	tick: () => undefined,
});
