/**
How fast the engines of a service read prompts, as this node saw it.
*/
export type PrefillSpeed = {
	/**
	An engine that had nothing else to read began to answer a prompt.
	*/
	record(tokens: number, milliseconds: number): void;
	/**
	Tokens in a millisecond; undefined before any prompt was seen.
	*/
	tokensPerMs(): number | undefined;
};

/**
A prompt of fewer tokens says little of the speed: the way and the wait for a step take as long as its reading.
*/
export const minimumSampleTokens = 2500;

// Weight of one more prompt.
const speedWeight = 0.2;

/**
Builds a speed that is not known yet.
*/
export const createPrefillSpeed = (): PrefillSpeed => {
	let speed: number | undefined;

	return {
		record(tokens, milliseconds) {
			if (tokens < minimumSampleTokens || milliseconds <= 0) {
				return;
			}

			const seen = tokens / milliseconds;
			speed = speed === undefined ? seen : speed + (seen - speed) * speedWeight;
		},
		tokensPerMs: () => speed,
	};
};
