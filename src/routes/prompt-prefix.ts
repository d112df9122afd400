/**
A part of a prompt that other requests may share.
*/
export type PromptPart = {readonly id: string; readonly tokens: number};

/**
The prompt of a request as its caller describes it.
*/
export type Prompt = {
	readonly parts: readonly PromptPart[];
	readonly tokensIn: number;
	/**
	The most tokens that the answer may hold.
	*/
	readonly tokensOut: number;
};

/**
A shorter shared part is read again faster than a request waits for its place: some milliseconds of
prefill at the engines that the measurements are from.
*/
export const smallestSharedTokens = 512;

/**
Reads `ID:TOKENS,ID:TOKENS`; parts without a count are left out.
*/
export const parsePromptParts = (text: string): readonly PromptPart[] =>
	text
		.split(',')
		.map((part) => {
			const [id = '', tokens = ''] = part.trim().split(':', 2);
			return {id, tokens: Number(tokens)};
		})
		.filter(({id, tokens}) => id !== '' && Number.isFinite(tokens));

/**
The part by which a request is placed: the longest of those that other requests share, which are
all but the last. Undefined where no shared part is worth a detour.
*/
export const placementPart = (prompt: Prompt): PromptPart | undefined => {
	const shared = prompt.parts.slice(0, -1);
	let longest: PromptPart | undefined;
	for (const part of shared) {
		if (!longest || part.tokens > longest.tokens) {
			longest = part;
		}
	}

	return longest && longest.tokens >= smallestSharedTokens
		? longest
		: undefined;
};
