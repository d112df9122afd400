import type {LimitShare} from './limit-share.ts';

/**
A token bucket with variable rate and burst capacity.
*/
export type TokenBucket = {
	/**
	Adds the tokens for the time since the last refill.
	*/
	fill(share: LimitShare, now: number): void;
	canTake(): boolean;
	/**
	Removes a token, even from an empty bucket; subsequent requests wait until the deficit is refilled.
	*/
	take(): void;
};

// Maximum number of tokens below zero.
const maximumDebt = 5;

/**
Creates an empty bucket, because a node that receives a limit has just sent a request.
*/
export const createTokenBucket = (createdAt: number): TokenBucket => {
	let tokens = 0;
	let refilledAt = createdAt;

	return {
		fill({perSecond, burst}, now) {
			const elapsedMs = Math.max(0, now - refilledAt);
			refilledAt = Math.max(refilledAt, now);
			tokens = Math.min(burst, tokens + (perSecond * elapsedMs) / 1000);
		},
		canTake: () => tokens >= 1,
		take() {
			tokens = Math.max(-maximumDebt, tokens - 1);
		},
	};
};
