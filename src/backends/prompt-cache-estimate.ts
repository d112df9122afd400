/**
Estimate of the shared prompt parts that one engine has cached, based on the prompts that this node sent to it.
*/
export type PromptCacheEstimate = {
	has(part: string): boolean;
	/**
	Marks a part as the most recently used; evicts the least recently used parts if the cache is full.
	*/
	use(part: {readonly id: string; readonly tokens: number}): void;
};

// Fraction of an engine's memory that this estimate may fill. The remainder holds running requests and parts sent by other nodes.
const usableFraction = 0.8;

/**
Creates an empty estimate.

@param engineTokens Capacity of the engine's cache, in tokens.
*/
export const createPromptCacheEstimate = (
	engineTokens: number,
): PromptCacheEstimate => {
	// A map iterates in insertion order, so its first key is the least recently used part.
	const parts = new Map<string, number>();
	let cachedTokens = 0;

	const drop = (id: string) => {
		cachedTokens -= parts.get(id) ?? 0;
		parts.delete(id);
	};

	return {
		has: (id) => parts.has(id),
		use({id, tokens}) {
			drop(id);
			parts.set(id, tokens);
			cachedTokens += tokens;
			for (const [oldest] of parts) {
				if (cachedTokens <= engineTokens * usableFraction) {
					return;
				}

				drop(oldest);
			}
		},
	};
};
