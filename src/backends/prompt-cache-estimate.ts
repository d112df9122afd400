/**
What one engine is believed to keep of shared prompt parts, by what this node sent it.
*/
export type PromptCacheEstimate = {
	has(part: string): boolean;
	/**
	Enters a part as used last; the parts unused for longest give way.
	*/
	use(part: {readonly id: string; readonly tokens: number}): void;
};

// The rest of an engine's memory holds running requests and parts that other nodes sent.
const keptPart = 0.8;

/**
Builds an empty memory for an engine that holds so many tokens.
*/
export const createPromptCacheEstimate = (
	engineTokens: number,
): PromptCacheEstimate => {
	// A map keeps its keys in the order of their entry: the first is the one unused for longest.
	const parts = new Map<string, number>();
	let kept = 0;

	const drop = (id: string) => {
		kept -= parts.get(id) ?? 0;
		parts.delete(id);
	};

	return {
		has: (id) => parts.has(id),
		use({id, tokens}) {
			drop(id);
			parts.set(id, tokens);
			kept += tokens;
			for (const [oldest] of parts) {
				if (kept <= engineTokens * keptPart) {
					return;
				}

				drop(oldest);
			}
		},
	};
};
