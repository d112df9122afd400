import type {LimitShare} from './limit-share.ts';

/**
Requests that may be sent now, by a rate that may change.
*/
export type TokenBucket = {
	/**
	Takes in the time that has passed with a share.
	*/
	fill(share: LimitShare, now: number): void;
	hasToken(): boolean;
	/**
	Counts a request; one that had to be sent without a token is made up for later.
	*/
	take(): void;
};

// What had to be sent without a token is made up for in this many requests at the most.
const deepestDebt = 5;

/**
Builds a bucket without a token: whoever learns of a limit has just sent something.
*/
export const createTokenBucket = (createdAt: number): TokenBucket => {
	let tokens = 0;
	let filledAt = createdAt;

	return {
		fill({perSecond, most}, now) {
			const passedMs = Math.max(0, now - filledAt);
			filledAt = Math.max(filledAt, now);
			tokens = Math.min(most, tokens + (perSecond * passedMs) / 1000);
		},
		hasToken: () => tokens >= 1,
		take() {
			tokens = Math.max(-deepestDebt, tokens - 1);
		},
	};
};
