import {
	createBackendLimits,
	createSenderNodes,
	type LimitShare,
} from '../../src/backend-limits/index.ts';
import {createTokenBucket} from '../../src/backend-limits/token-bucket.ts';
import {silentLogger} from '../../src/logging/index.ts';
import type {LimitNode, LimitRule} from './limit-model.ts';

/**
The rule of the gateway.
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

// A node uses only the limits in its own responses.
const createLocalRule = (
	shareOf: (perSecond: number) => LimitShare,
	clock: () => number,
): LimitRule => {
	let limit: number | undefined;
	const bucket = createTokenBucket(clock());
	return {
		recordStatement(_incarnationId, {perSecond}) {
			limit = perSecond;
		},
		receive: () => undefined,
		canSend(_incarnationId, now) {
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
Each node applies the full limit on its own.
*/
export const createUncoordinatedRule = ({clock}: LimitNode): LimitRule =>
	createLocalRule(
		(perSecond) => ({perSecond, burst: Math.max(1, perSecond)}),
		clock,
	);

/**
Each node applies an equal share of the limit.
*/
export const createEqualRule = ({others, clock}: LimitNode): LimitRule =>
	createLocalRule((perSecond) => {
		const perNode = perSecond / (others().length + 1);
		return {perSecond: perNode, burst: Math.max(1, perNode)};
	}, clock);

/**
Limits are ignored.
*/
export const createNoRule = (): LimitRule => ({
	recordStatement: () => undefined,
	receive: () => undefined,
	canSend: () => true,
	recordSend: () => undefined,
	tick: () => undefined,
});
