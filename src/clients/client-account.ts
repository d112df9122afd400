/**
What a client account's limit counts.
*/
export const limitUnits = ['requests', 'tokens'] as const;

/**
One of the units.
*/
export type LimitUnit = (typeof limitUnits)[number];

/**
How much a client account may ask for, over all nodes together.
*/
export type ClientLimit = {
	readonly unit: LimitUnit;
	/**
	In the unit; above 0.
	*/
	readonly perSecond: number;
	/**
	What may come at once beyond that, in the unit.
	*/
	readonly burst: number;
	/**
	What a request that states no tokens counts where the unit is tokens.
	*/
	readonly plainTokens: number;
};

/**
A client account as the operator publishes it.
*/
export type ClientAccount = {
	readonly name: string;
	/**
	SHA-256 digests of its keys in hexadecimal; the keys themselves are kept nowhere.
	*/
	readonly keyDigests: readonly string[];
	/**
	0 is the most urgent; goes before the priority of the route.
	*/
	readonly priority: number;
	/**
	The only regions that may serve the account; empty for all.
	*/
	readonly homeRegions: readonly string[];
	/**
	Undefined where the account is not limited.
	*/
	readonly limit: ClientLimit | undefined;
};

/**
What a request counts against the limit of its account, by the tokens of its prompt and the most that its answer may
hold; undefined where it states none.
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
