/**
Units in which the limit of a client account is counted.
*/
export const limitUnits = ['requests', 'tokens'] as const;

/**
Unit of a client account's limit.
*/
export type LimitUnit = (typeof limitUnits)[number];

/**
Rate limit of a client account, over all nodes together.
*/
export type ClientLimit = {
	readonly unit: LimitUnit;
	/**
	Sustained rate, in units per second; above 0.
	*/
	readonly perSecond: number;
	/**
	Burst allowance beyond the sustained rate, in units.
	*/
	readonly burst: number;
	/**
	Tokens charged for a request that declares none, if the unit is tokens.
	*/
	readonly plainTokens: number;
};

/**
A client account, as published by the operator.
*/
export type ClientAccount = {
	readonly name: string;
	/**
	SHA-256 digests of its keys, in hexadecimal; the keys themselves are not stored.
	*/
	readonly keyDigests: readonly string[];
	/**
	Priority; 0 is the highest. It takes precedence over the priority of the route.
	*/
	readonly priority: number;
	/**
	Regions that may serve the account; an empty list allows all regions.
	*/
	readonly homeRegions: readonly string[];
	/**
	Rate limit; undefined if the account has none.
	*/
	readonly limit: ClientLimit | undefined;
};

/**
Returns the units that a request uses of its account's limit. `tokens` is the tokens of the prompt plus the maximum
tokens of the response, or undefined if the request declares none.
*/
export const limitUnitsUsed = (
	{unit, plainTokens}: ClientLimit,
	tokens: number | undefined,
): number => {
	switch (unit) {
		case 'requests': {
			return 1;
		}

		case 'tokens': {
			return tokens ?? plainTokens;
		}
	}
};
