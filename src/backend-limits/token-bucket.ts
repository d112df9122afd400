import type {LimitShare} from './limit-share.ts';

/**
A token bucket whose rate and burst capacity may change.
*/
export type TokenBucket = {
	/**
	Adds the tokens of the time since the last fill.
	*/
	fill(share: LimitShare, now: number): void;
	canTake(): boolean;
	/**
	Removes a token, also where there is none: the next requests wait for it.
	*/
	take(): void;
};

// Tokens that the bucket may go below zero.
const maximumDebt = 5;

/**
Builds an empty bucket: a node that learns of a limit has just sent a request.
*/
export const createTokenBucket = (createdAt: number): TokenBucket => {
	let tokens = 0;
	let filledAt = createdAt;

	return {
		fill({perSecond, burst}, now) {
			const passedMs = Math.max(0, now - filledAt);
			filledAt = Math.max(filledAt, now);
			tokens = Math.min(burst, tokens + (perSecond * passedMs) / 1000);
		},
		canTake: () => tokens >= 1,
		take() {
			tokens = Math.max(-maximumDebt, tokens - 1);
		},
	};
};
