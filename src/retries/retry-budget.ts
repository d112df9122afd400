/**
Bound on the additional load that retries cause.
*/
export type RetryBudget = {
	/**
	Counts a first attempt, which adds a fraction of a retry to the budget.
	*/
	earn(): void;

	/**
	Whether the budget allows another retry now.
	*/
	hasRetry(): boolean;

	/**
	Deducts one retry from the budget.
	*/
	spend(): void;
};

/**
Retries that each request adds to the budget: one retry for ten requests.
*/
export const retriesPerRequest = 0.1;

/**
Maximum and initial balance of the budget, in retries.
*/
export const maximumBalance = 20;

/**
 Creates a budget with the maximum balance.
 
 Retries are a fixed fraction of requests, so the loss of a region increases the load on
 the others by at most that fraction instead of by the number of attempts.
 */
export const createRetryBudget = (
	ratio = retriesPerRequest,
	maximum = maximumBalance,
): RetryBudget => {
	let balance = maximum;
	return {
		earn() {
			balance = Math.min(maximum, balance + ratio);
		},
		hasRetry: () => balance >= 1,
		spend() {
			balance -= 1;
		},
	};
};
